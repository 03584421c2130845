// How a member of a view responds to each type of message, as a table: by the sender, the epoch,
// and whether the member has promised a next view.
#include <cppunit/extensions/HelperMacros.h>

#include "tier/coordination/chain_messages.h"

namespace pearreach::coordination::chain {
namespace {

constexpr Micros kNow = 10'000'000;
constexpr std::uint64_t kEpoch = 5;

const char* const kMessageTypes[] = {
    "Append",      "CommitNotice",   "ViewProbe",       "ViewNotice",
    "ViewRequest", "ViewResponse",   "Prepare",         "Promise",
    "Reject",      "AcceptorGone",   "Accept",          "Accepted",
    "ReadRequest", "ConfirmRequest", "ConfirmResponse", "ReadResponse"};

ReplicaId Id(const std::string& text) { return {text.substr(0, 1), text.substr(1)}; }

// The member in the middle of a1, b1, c1, with the view's start committed.
class MiddleMember {
 public:
  explicit MiddleMember(const std::string& self = "b1")
      : replica_({Id(self), false, 1}, {}, 1, kNow) {
    const Proposal start{{kEpoch, {Id("a1"), Id("b1"), Id("c1")}},
                         {},
                         {std::make_shared<const Map>(Map{{"config", {"old", 1}}})}};
    Deliver("a1", kEpoch, ViewResponse{start, false, {kEpoch, 0}});
    Deliver("a1", kEpoch, Append{0, {}});
    Deliver("c1", kEpoch, CommitNotice{0});
  }

  // The responses as "to:Type" in order, with all disk writes done at once.
  std::string Deliver(const std::string& from, std::uint64_t epoch, Body body) {
    Effects out;
    const Envelope envelope{{Id(from), epoch}, std::move(body)};
    replica_.Receive(kNow, from.substr(0, 1), EncodeEnvelope(envelope), &out);
    return Finish(std::move(out));
  }

  std::string Finish(Effects out) {
    std::string responses;
    for (std::size_t i = 0; i < out.persists.size(); ++i) {
      replica_.OnPersisted(kNow, out.persists[i].token, &out);
    }
    for (const SendMessage& message : out.messages) {
      const auto envelope = DecodeEnvelope(message.bytes);
      CPPUNIT_ASSERT(envelope.ok());
      responses +=
          (responses.empty() ? "" : " ") + message.to + ":" + kMessageTypes[envelope->body.index()];
    }
    return responses;
  }
  ChainReplica& replica() { return replica_; }

 private:
  ChainReplica replica_;
};

class ChainRulesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChainRulesTest);
  CPPUNIT_TEST(RespondsToEachMessageType);
  CPPUNIT_TEST(SendsNothingBeforeSync);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RespondsToEachMessageType() {
    const ProposalNumber proposal_number{9, Id("a1")}, lower{1, Id("a1")};
    const std::vector<ReplicaId> members = {Id("a1"), Id("b1"), Id("c1")};
    const std::vector<ReplicaId> other = {Id("a1"), Id("b0"), Id("c1")};
    const Append change{1, {{"config", {"new", 2}}}};
    const Proposal next{{kEpoch + 1, members}, {kEpoch, 0}, {}};
    const Proposal unknown{{kEpoch + 1, members}, {kEpoch, 7}, {}};
    const struct {
      const char* what;
      bool sealed;
      const char* from;
      std::uint64_t epoch;
      Body body;
      const char* responses;
    } cases[] = {
        {"change", false, "a1", kEpoch, change, "c:Append"},
        {"change when sealed", true, "a1", kEpoch, change, ""},
        {"change from the successor", false, "c1", kEpoch, change, ""},
        {"change from another disk", false, "a2", kEpoch, change, ""},
        {"change of an older view", false, "a1", kEpoch - 1, change, "a:ViewNotice"},
        {"change of a newer view", false, "a1", kEpoch + 1, change, "a:ViewRequest"},
        {"change after a gap", false, "a1", kEpoch, Append{2, change.changes}, ""},
        {"change that is committed", false, "a1", kEpoch, Append{0, {}}, "a:CommitNotice"},
        {"commit of nothing pending", false, "c1", kEpoch, CommitNotice{1}, ""},
        {"probe", false, "c1", kEpoch, ViewProbe{}, "c:CommitNotice"},
        {"probe of the predecessor", false, "a1", kEpoch, ViewProbe{}, ""},
        {"probe when sealed", true, "c1", kEpoch, ViewProbe{}, ""},
        {"notice", false, "c1", kEpoch + 1, ViewNotice{}, "c:ViewRequest"},
        {"notice of the same", false, "c1", kEpoch, ViewNotice{}, ""},
        {"notice of an older", false, "c1", kEpoch - 1, ViewNotice{}, ""},
        {"view request", false, "z9", 0, ViewRequest{}, "z:ViewResponse"},
        {"view request of the same", false, "c1", kEpoch, ViewRequest{}, ""},
        {"prepare", false, "a1", kEpoch, Prepare{proposal_number, members, {}}, "a:Promise"},
        {"prepare again", true, "a1", kEpoch, Prepare{proposal_number, members, {}}, "a:Promise"},
        {"prepare of a lower number", true, "a1", kEpoch, Prepare{lower, members, {}}, "a:Reject"},
        {"prepare of another view", false, "a1", kEpoch - 1, Prepare{proposal_number, members, {}},
         "a:ViewNotice"},
        {"prepare naming an old disk", false, "a1", kEpoch, Prepare{proposal_number, other, {}},
         "a:AcceptorGone"},
        {"accept", true, "a1", kEpoch, Accept{proposal_number, next}, "a:Accepted"},
        {"accept without a prepare", false, "a1", kEpoch, Accept{proposal_number, next},
         "a:Accepted"},
        {"accept of a lower number", true, "a1", kEpoch, Accept{lower, next}, "a:Reject"},
        {"accept of a map not held", true, "a1", kEpoch, Accept{proposal_number, unknown}, ""},
        {"read elsewhere than the tail", false, "a1", kEpoch, ReadRequest{1, 1, {}}, ""},
        {"confirm request of the tail", false, "c1", kEpoch, ConfirmRequest{3},
         "c:ConfirmResponse"},
        {"confirm request when sealed", true, "c1", kEpoch, ConfirmRequest{3}, ""},
        {"confirm request of another", false, "a1", kEpoch, ConfirmRequest{3}, ""},
        {"confirm request of an older view", false, "c1", kEpoch - 1, ConfirmRequest{3},
         "c:ViewNotice"},
        {"unexpected promise", false, "c1", kEpoch, Promise{proposal_number, {}, {}, {}, {}}, ""},
        {"unexpected accepted", false, "c1", kEpoch, Accepted{proposal_number}, ""},
    };
    for (const auto& test : cases) {
      MiddleMember member;
      if (test.sealed) member.Deliver("a1", kEpoch, Prepare{proposal_number, members, {}});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.what, std::string(test.responses),
                                   member.Deliver(test.from, test.epoch, test.body));
    }
    MiddleMember wiped("b2");  // no member, though of a member's name
    for (const Body& body :
         {Body{change}, Body{CommitNotice{0}}, Body{Accept{proposal_number, next}},
          Body{ConfirmRequest{3}}, Body{ViewProbe{}}}) {
      CPPUNIT_ASSERT_EQUAL(std::string(), wiped.Deliver("c1", kEpoch, body));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("a:AcceptorGone"),
                         wiped.Deliver("a1", kEpoch, Prepare{proposal_number, members, {}}));
  }

  void SendsNothingBeforeSync() {
    const std::vector<ReplicaId> members = {Id("a1"), Id("b1"), Id("c1")};
    for (const Body& body :
         {Body{Append{1, {{"config", {"new", 2}}}}}, Body{Prepare{{9, Id("a1")}, members, {}}}}) {
      MiddleMember member;
      Effects out;
      const Envelope envelope{{Id("a1"), kEpoch}, body};
      member.replica().Receive(kNow, "a", EncodeEnvelope(envelope), &out);
      CPPUNIT_ASSERT(out.messages.empty());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, out.persists.size());
      member.replica().Tick(kNow + 1'000'000, &out);
      CPPUNIT_ASSERT(out.messages.empty());
      CPPUNIT_ASSERT(!member.Finish(std::move(out)).empty());
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ChainRulesTest);

}  // namespace
}  // namespace pearreach::coordination::chain
