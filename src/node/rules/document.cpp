#include "node/rules/document.h"

#include <sodium.h>

#include <algorithm>
#include <cmath>
#include <cstring>

#include "dispatch/settings/settings_reader.h"
#include "node/config/xml.h"
#include "node/rules/rules.pb.h"
#include "node/rules/rules_schema.h"

namespace pearreach::rules {
namespace {

constexpr int kMaxVoters = 9;
constexpr double kMaxRate = 1e6;

template <typename T>
std::optional<T> Least(const std::optional<T>& a, const std::optional<T>& b) {
  if (!a || !b) return a ? a : b;
  return std::min(*a, *b);
}

// The share of an account by these rules; none: nothing is said of it.
std::optional<double> ShareOf(const Rules& r, const std::string& account) {
  const auto it = r.shares.find(account);
  return it != r.shares.end() ? std::optional(it->second) : r.others;
}

std::string Number(double value) {
  char text[40];
  for (int digits = 6; digits <= 17; ++digits) {
    std::snprintf(text, sizeof text, "%.*g", digits, value);
    if (std::strtod(text, nullptr) == value) break;
  }
  return text;
}

std::string Escaped(const std::string& text) {
  std::string all;
  for (const char c : text) {
    if (c == '&')
      all += "&amp;";
    else if (c == '<')
      all += "&lt;";
    else if (c == '"')
      all += "&quot;";
    else
      all += c;
  }
  return all;
}

bool IsRate(double value) { return std::isfinite(value) && value >= 0 && value <= kMaxRate; }

template <class Names>
bool Ascending(const Names& names) {
  return std::adjacent_find(names.begin(), names.end(),
                            [](const auto& a, const auto& b) { return a >= b; }) == names.end();
}

}  // namespace

Rules StricterOf(const Rules& a, const Rules& b) {
  Rules r;
  for (const Rules* from : {&a, &b})
    for (const auto& [account, share] : from->shares)
      r.shares[account] = *Least(ShareOf(a, account), ShareOf(b, account));
  r.others = Least(a.others, b.others);
  r.repeats = Least(a.repeats, b.repeats);
  r.attempts = Least(a.attempts, b.attempts);
  r.nodes = !a.nodes || !b.nodes ? (a.nodes ? a.nodes : b.nodes) : std::max(a.nodes, b.nodes);
  r.bans = a.bans;
  r.bans.insert(b.bans.begin(), b.bans.end());
  // Left before nothing said, that before in use.
  for (const Rules* from : {&a, &b})
    for (const auto& [zone, left] : from->leaves) {
      const Rules& other = from == &a ? b : a;
      const auto it = other.leaves.find(zone);
      if (left || (it != other.leaves.end() && it->second))
        r.leaves[zone] = true;
      else if (it != other.leaves.end())
        r.leaves[zone] = false;
    }
  return r;
}

bool Obeys(const Rules& a, const Rules& b) {
  const auto at_most = [](const auto& x, const auto& y) { return !y || (x && *x <= *y); };
  const auto share = [&](const std::string& account) {
    return at_most(ShareOf(a, account), ShareOf(b, account));
  };
  for (const Rules* named : {&a, &b})
    for (const auto& [account, unused] : named->shares)
      if (!share(account)) return false;
  if (!at_most(a.others, b.others) || !at_most(a.repeats, b.repeats) ||
      !at_most(a.attempts, b.attempts))
    return false;
  if (b.nodes && (!a.nodes || *a.nodes < *b.nodes)) return false;
  if (!std::includes(a.bans.begin(), a.bans.end(), b.bans.begin(), b.bans.end())) return false;
  const auto strict = [](const Rules& r, const std::string& zone) {
    const auto it = r.leaves.find(zone);
    return it == r.leaves.end() ? 1 : it->second ? 2 : 0;
  };
  for (const Rules* named : {&a, &b})
    for (const auto& [zone, unused] : named->leaves)
      if (strict(a, zone) < strict(b, zone)) return false;
  return true;
}

Rules FloorOf(const Rules& known) {
  Rules floor;
  floor.others = 0;
  floor.repeats = 0;
  floor.attempts = 1;
  Rules r = StricterOf(known, floor);
  for (auto& [account, share] : r.shares) share = 0;
  return r;
}

Document ReadXml(std::string_view text, const std::string& name, const std::vector<int>& voters,
                 int nodes) {
  const xml::Document document = xml::Read(text, name, kRulesSchema);
  const xmlNode* root = xml::Root(document);
  const auto number = [&](const xmlNode* n, const char* attribute, auto* to) {
    using T = typename std::decay_t<decltype(*to)>::value_type;
    if (const std::string said = xml::Text(n, attribute); !said.empty())
      *to = dispatch::ParseNumber<T>(said, attribute);
  };
  Document d;
  std::optional<std::uint32_t> schema;
  number(root, "schema", &schema);
  if (schema.value_or(kSchema) > kSchema)
    xml::Fail(name, xml::Line(root),
              "schema " + std::to_string(*schema) + " is later than this program's " +
                  std::to_string(kSchema));
  number(root, "repeats", &d.rules.repeats);
  number(root, "attempts", &d.rules.attempts);
  number(root, "nodes", &d.rules.nodes);
  std::set<int> chosen;
  std::string said = xml::Text(root, "voters");
  std::replace_if(
      said.begin(), said.end(), [](char c) { return c == '\n' || c == '\t'; }, ' ');
  for (std::string_view rest = said; !rest.empty();) {
    const std::size_t space = rest.find(' ');
    const std::string word(rest.substr(0, space));
    rest = space == std::string_view::npos ? std::string_view() : rest.substr(space + 1);
    if (word.empty()) continue;
    const int voter = dispatch::ParseNumber<int>(word, "voters");
    if (voter >= nodes)
      xml::Fail(name, xml::Line(root),
                "voters: there is no node " + word + " of " + std::to_string(nodes));
    if (!chosen.insert(voter).second)
      xml::Fail(name, xml::Line(root), "voters: node " + word + " is named twice");
  }
  d.voters = chosen.empty() ? voters : std::vector<int>(chosen.begin(), chosen.end());
  xml::Each(root, [&](const std::string& what, const xmlNode* n) {
    const std::string of = xml::Text(n, what == "ban" ? "worker" : "name");
    bool first = true;
    if (what == "account") {
      first =
          d.rules.shares.emplace(of, dispatch::ParseNumber<double>(xml::Text(n, "share"), "share"))
              .second;
    } else if (what == "ban") {
      first = d.rules.bans.insert(of).second;
    } else {
      first = d.rules.leaves.emplace(of, xml::Text(n, "order") == "leave").second;
    }
    if (!first) xml::Fail(name, xml::Line(n), what + " \"" + of + "\" is there twice");
  });
  if (Encode(d).size() > kMaxDocument)
    xml::Fail(name, xml::Line(root),
              "longer than " + std::to_string(kMaxDocument) + " bytes in canonical form");
  return d;
}

std::string WriteXml(const Document& d) {
  std::string text = "<rules schema=\"" + std::to_string(d.schema) + "\" voters=\"";
  for (std::size_t i = 0; i < d.voters.size(); ++i)
    text += (i > 0 ? " " : "") + std::to_string(d.voters[i]);
  text += "\"";
  if (d.rules.repeats) text += " repeats=\"" + Number(*d.rules.repeats) + "\"";
  if (d.rules.attempts) text += " attempts=\"" + std::to_string(*d.rules.attempts) + "\"";
  if (d.rules.nodes) text += " nodes=\"" + std::to_string(*d.rules.nodes) + "\"";
  text += ">\n";
  for (const auto& [account, share] : d.rules.shares)
    text += "  <account name=\"" + Escaped(account) + "\" share=\"" + Number(share) + "\"/>\n";
  for (const std::string& worker : d.rules.bans)
    text += "  <ban worker=\"" + Escaped(worker) + "\"/>\n";
  for (const auto& [zone, left] : d.rules.leaves)
    text +=
        "  <zone name=\"" + Escaped(zone) + "\" order=\"" + (left ? "leave" : "return") + "\"/>\n";
  return text + "</rules>\n";
}

std::string Words(const Document& d) {
  return "version " + std::to_string(d.number) + (d.forced ? " (forced)" : "") + " said at node " +
         std::to_string(d.by);
}

std::vector<std::string> Differences(const Rules& from, const Rules& to) {
  std::vector<std::string> lines;
  const auto said = [](const auto& value) { return value ? Number(*value) : std::string("-"); };
  const auto line = [&](const std::string& what, const std::string& a, const std::string& b) {
    if (a != b) lines.push_back(what + ": " + a + " -> " + b);
  };
  line("repeats", said(from.repeats), said(to.repeats));
  line("attempts", said(from.attempts), said(to.attempts));
  line("nodes", said(from.nodes), said(to.nodes));
  std::set<std::string> accounts, workers, zones;
  for (const Rules* r : {&from, &to}) {
    for (const auto& [account, unused] : r->shares) accounts.insert(account);
    workers.insert(r->bans.begin(), r->bans.end());
    for (const auto& [zone, unused] : r->leaves) zones.insert(zone);
  }
  for (const std::string& a : accounts)
    line("account " + a, said(ShareOf(from, a)), said(ShareOf(to, a)));
  for (const std::string& w : workers)
    line("worker " + w, from.bans.count(w) > 0 ? "banned" : "-",
         to.bans.count(w) > 0 ? "banned" : "-");
  const auto order = [](const Rules& r, const std::string& zone) {
    const auto it = r.leaves.find(zone);
    return std::string(it == r.leaves.end() ? "-" : it->second ? "leave" : "return");
  };
  for (const std::string& z : zones) line("zone " + z, order(from, z), order(to, z));
  return lines;
}

std::string Encode(const Document& d) {
  wire::Document w;
  w.set_schema(d.schema);
  w.set_number(d.number);
  w.set_before(d.before);
  w.set_by(static_cast<std::uint32_t>(d.by));
  w.set_at_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(0, d.at_ms)));
  w.set_forced(d.forced);
  for (const int voter : d.voters) w.add_voters(static_cast<std::uint32_t>(voter));
  for (const auto& [account, share] : d.rules.shares) {
    w.add_account(account);
    w.add_share(share);
  }
  if (d.rules.others) w.set_others(*d.rules.others);
  if (d.rules.repeats) w.set_repeats(*d.rules.repeats);
  if (d.rules.attempts) w.set_attempts(static_cast<std::uint32_t>(*d.rules.attempts));
  if (d.rules.nodes) w.set_nodes(static_cast<std::uint32_t>(*d.rules.nodes));
  for (const std::string& worker : d.rules.bans) w.add_ban(worker);
  for (const auto& [zone, left] : d.rules.leaves) left ? w.add_leave(zone) : w.add_use(zone);
  return w.SerializeAsString();
}

std::optional<Document> Decode(std::string_view bytes, bool* later) {
  if (later != nullptr) *later = false;
  wire::Document w;
  if (bytes.size() > kMaxDocument ||
      !w.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return std::nullopt;
  if (w.schema() > kSchema) {
    if (later != nullptr) *later = true;
    return std::nullopt;
  }
  if (w.account_size() != w.share_size() || w.voters_size() < 1 || w.voters_size() > kMaxVoters ||
      !Ascending(w.voters()) || !Ascending(w.account()) || !Ascending(w.ban()) ||
      !Ascending(w.leave()) || !Ascending(w.use()) || w.by() > 1'000'000 ||
      w.voters(w.voters_size() - 1) > 1'000'000 || w.attempts() > 1000 || w.nodes() > 1000 ||
      (w.has_attempts() && w.attempts() < 1) || (w.has_nodes() && w.nodes() < 1) ||
      !IsRate(w.others()) || !IsRate(w.repeats()) || w.at_ms() > (1ull << 50) ||
      !std::all_of(w.share().begin(), w.share().end(), IsRate))
    return std::nullopt;
  Document d;
  d.schema = w.schema();
  d.number = w.number();
  d.before = w.before();
  d.by = static_cast<int>(w.by());
  d.at_ms = static_cast<std::int64_t>(w.at_ms());
  d.forced = w.forced();
  for (const std::uint32_t voter : w.voters()) d.voters.push_back(static_cast<int>(voter));
  for (int i = 0; i < w.account_size(); ++i) d.rules.shares[w.account(i)] = w.share(i);
  if (w.has_others()) d.rules.others = w.others();
  if (w.has_repeats()) d.rules.repeats = w.repeats();
  if (w.has_attempts()) d.rules.attempts = static_cast<int>(w.attempts());
  if (w.has_nodes()) d.rules.nodes = static_cast<int>(w.nodes());
  d.rules.bans.insert(w.ban().begin(), w.ban().end());
  for (const std::string& zone : w.use()) d.rules.leaves[zone] = false;
  for (const std::string& zone : w.leave()) d.rules.leaves[zone] = true;
  // One document has one form: what reads as the same but is written otherwise has another hash.
  if (Encode(d) != bytes) return std::nullopt;
  return d;
}

std::uint64_t HashOf(std::string_view canonical) {
  unsigned char hash[crypto_generichash_BYTES_MIN];
  crypto_generichash(hash, sizeof hash, reinterpret_cast<const unsigned char*>(canonical.data()),
                     canonical.size(), nullptr, 0);
  std::uint64_t value = 0;
  std::memcpy(&value, hash, sizeof value);
  return value == 0 ? 1 : value;
}

}  // namespace pearreach::rules
