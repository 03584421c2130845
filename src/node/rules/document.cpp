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
std::optional<T> MinOf(const std::optional<T>& a, const std::optional<T>& b) {
  if (!a || !b) return a ? a : b;
  return std::min(*a, *b);
}

// The share of an account under these rules, if they set one.
std::optional<double> ShareOf(const Rules& r, const std::string& account) {
  const auto it = r.shares.find(account);
  return it != r.shares.end() ? std::optional(it->second) : r.default_share;
}

std::string FormatNumber(double value) {
  char text[40];
  for (int digits = 6; digits <= 17; ++digits) {
    std::snprintf(text, sizeof text, "%.*g", digits, value);
    if (std::strtod(text, nullptr) == value) break;
  }
  return text;
}

std::string EscapeXml(const std::string& text) {
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

bool IsValidRate(double value) { return std::isfinite(value) && value >= 0 && value <= kMaxRate; }

template <class Names>
bool IsAscending(const Names& names) {
  return std::adjacent_find(names.begin(), names.end(),
                            [](const auto& a, const auto& b) { return a >= b; }) == names.end();
}

}  // namespace

Rules StricterOf(const Rules& a, const Rules& b) {
  Rules r;
  for (const Rules* source : {&a, &b})
    for (const auto& [account, share] : source->shares)
      r.shares[account] = *MinOf(ShareOf(a, account), ShareOf(b, account));
  r.default_share = MinOf(a.default_share, b.default_share);
  r.retries_per_s = MinOf(a.retries_per_s, b.retries_per_s);
  r.attempts = MinOf(a.attempts, b.attempts);
  r.budget_parts = !a.budget_parts || !b.budget_parts
                       ? (a.budget_parts ? a.budget_parts : b.budget_parts)
                       : std::max(a.budget_parts, b.budget_parts);
  r.bans = a.bans;
  r.bans.insert(b.bans.begin(), b.bans.end());
  // Strictest first: not used (true), not set, used regardless of health (false).
  for (const Rules* source : {&a, &b})
    for (const auto& [zone, left] : source->zone_left) {
      const Rules& other = source == &a ? b : a;
      const auto it = other.zone_left.find(zone);
      if (left || (it != other.zone_left.end() && it->second))
        r.zone_left[zone] = true;
      else if (it != other.zone_left.end())
        r.zone_left[zone] = false;
    }
  return r;
}

bool Satisfies(const Rules& a, const Rules& b) {
  const auto at_most = [](const auto& x, const auto& y) { return !y || (x && *x <= *y); };
  const auto share_at_most = [&](const std::string& account) {
    return at_most(ShareOf(a, account), ShareOf(b, account));
  };
  for (const Rules* named : {&a, &b})
    for (const auto& [account, unused] : named->shares)
      if (!share_at_most(account)) return false;
  if (!at_most(a.default_share, b.default_share) || !at_most(a.retries_per_s, b.retries_per_s) ||
      !at_most(a.attempts, b.attempts))
    return false;
  if (b.budget_parts && (!a.budget_parts || *a.budget_parts < *b.budget_parts)) return false;
  if (!std::includes(a.bans.begin(), a.bans.end(), b.bans.begin(), b.bans.end())) return false;
  const auto strictness = [](const Rules& r, const std::string& zone) {
    const auto it = r.zone_left.find(zone);
    return it == r.zone_left.end() ? 1 : it->second ? 2 : 0;
  };
  for (const Rules* named : {&a, &b})
    for (const auto& [zone, unused] : named->zone_left)
      if (strictness(a, zone) < strictness(b, zone)) return false;
  return true;
}

Rules FloorOf(const Rules& known) {
  Rules floor;
  floor.default_share = 0;
  floor.retries_per_s = 0;
  floor.attempts = 1;
  Rules r = StricterOf(known, floor);
  for (auto& [account, share] : r.shares) share = 0;
  return r;
}

Document ReadXml(std::string_view text, const std::string& name, const std::vector<int>& voters,
                 int nodes) {
  const xml::Document document = xml::Read(text, name, kRulesSchema);
  const xmlNode* root = xml::Root(document);
  const auto read_number = [&](const xmlNode* n, const char* attribute, auto* to) {
    using T = typename std::decay_t<decltype(*to)>::value_type;
    if (const std::string value = xml::Text(n, attribute); !value.empty())
      *to = dispatch::ParseNumber<T>(value, attribute);
  };
  Document d;
  std::optional<std::uint32_t> schema;
  read_number(root, "schema", &schema);
  if (schema.value_or(kSchema) > kSchema)
    xml::Fail(name, xml::Line(root),
              "schema " + std::to_string(*schema) +
                  " is later than the latest schema that this program reads, " +
                  std::to_string(kSchema));
  read_number(root, "repeats", &d.rules.retries_per_s);
  read_number(root, "attempts", &d.rules.attempts);
  read_number(root, "nodes", &d.rules.budget_parts);
  std::set<int> chosen;
  std::string voter_list = xml::Text(root, "voters");
  std::replace_if(
      voter_list.begin(), voter_list.end(), [](char c) { return c == '\n' || c == '\t'; }, ' ');
  for (std::string_view rest = voter_list; !rest.empty();) {
    const std::size_t space = rest.find(' ');
    const std::string token(rest.substr(0, space));
    rest = space == std::string_view::npos ? std::string_view() : rest.substr(space + 1);
    if (token.empty()) continue;
    const int voter = dispatch::ParseNumber<int>(token, "voters");
    if (voter >= nodes)
      xml::Fail(name, xml::Line(root),
                "voters: there is no node " + token + " of " + std::to_string(nodes));
    if (!chosen.insert(voter).second)
      xml::Fail(name, xml::Line(root), "voters: node " + token + " is named twice");
  }
  d.voters = chosen.empty() ? voters : std::vector<int>(chosen.begin(), chosen.end());
  xml::Each(root, [&](const std::string& element, const xmlNode* n) {
    const std::string key = xml::Text(n, element == "ban" ? "worker" : "name");
    bool is_new = true;
    if (element == "account") {
      is_new =
          d.rules.shares.emplace(key, dispatch::ParseNumber<double>(xml::Text(n, "share"), "share"))
              .second;
    } else if (element == "ban") {
      is_new = d.rules.bans.insert(key).second;
    } else {
      is_new = d.rules.zone_left.emplace(key, xml::Text(n, "order") == "leave").second;
    }
    if (!is_new) xml::Fail(name, xml::Line(n), element + " \"" + key + "\" occurs twice");
  });
  if (Encode(d).size() > kMaxDocumentBytes)
    xml::Fail(name, xml::Line(root),
              "document has " + std::to_string(Encode(d).size()) +
                  " bytes in canonical form; the limit is " + std::to_string(kMaxDocumentBytes));
  return d;
}

std::string WriteXml(const Document& d) {
  std::string text = "<rules schema=\"" + std::to_string(d.schema) + "\" voters=\"";
  for (std::size_t i = 0; i < d.voters.size(); ++i)
    text += (i > 0 ? " " : "") + std::to_string(d.voters[i]);
  text += "\"";
  if (d.rules.retries_per_s) text += " repeats=\"" + FormatNumber(*d.rules.retries_per_s) + "\"";
  if (d.rules.attempts) text += " attempts=\"" + std::to_string(*d.rules.attempts) + "\"";
  if (d.rules.budget_parts) text += " nodes=\"" + std::to_string(*d.rules.budget_parts) + "\"";
  text += ">\n";
  for (const auto& [account, share] : d.rules.shares)
    text +=
        "  <account name=\"" + EscapeXml(account) + "\" share=\"" + FormatNumber(share) + "\"/>\n";
  for (const std::string& worker : d.rules.bans)
    text += "  <ban worker=\"" + EscapeXml(worker) + "\"/>\n";
  for (const auto& [zone, left] : d.rules.zone_left)
    text += "  <zone name=\"" + EscapeXml(zone) + "\" order=\"" + (left ? "leave" : "return") +
            "\"/>\n";
  return text + "</rules>\n";
}

std::string Describe(const Document& d) {
  return "version " + std::to_string(d.number) + (d.forced ? " (forced)" : "") +
         " proposed at node " + std::to_string(d.proposer);
}

std::vector<std::string> Differences(const Rules& from, const Rules& to) {
  std::vector<std::string> lines;
  const auto to_text = [](const auto& value) {
    return value ? FormatNumber(*value) : std::string("-");
  };
  const auto add_change = [&](const std::string& subject, const std::string& a,
                              const std::string& b) {
    if (a != b) lines.push_back(subject + ": " + a + " -> " + b);
  };
  add_change("repeats", to_text(from.retries_per_s), to_text(to.retries_per_s));
  add_change("attempts", to_text(from.attempts), to_text(to.attempts));
  add_change("nodes", to_text(from.budget_parts), to_text(to.budget_parts));
  std::set<std::string> accounts, workers, zones;
  for (const Rules* r : {&from, &to}) {
    for (const auto& [account, unused] : r->shares) accounts.insert(account);
    workers.insert(r->bans.begin(), r->bans.end());
    for (const auto& [zone, unused] : r->zone_left) zones.insert(zone);
  }
  for (const std::string& a : accounts)
    add_change("account " + a, to_text(ShareOf(from, a)), to_text(ShareOf(to, a)));
  for (const std::string& w : workers)
    add_change("worker " + w, from.bans.count(w) > 0 ? "banned" : "-",
               to.bans.count(w) > 0 ? "banned" : "-");
  const auto order = [](const Rules& r, const std::string& zone) {
    const auto it = r.zone_left.find(zone);
    return std::string(it == r.zone_left.end() ? "-" : it->second ? "leave" : "return");
  };
  for (const std::string& z : zones) add_change("zone " + z, order(from, z), order(to, z));
  return lines;
}

std::string Encode(const Document& d) {
  wire::Document encoded;
  encoded.set_schema(d.schema);
  encoded.set_number(d.number);
  encoded.set_before(d.previous_hash);
  encoded.set_by(static_cast<std::uint32_t>(d.proposer));
  encoded.set_at_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(0, d.proposed_at_ms)));
  encoded.set_forced(d.forced);
  for (const int voter : d.voters) encoded.add_voters(static_cast<std::uint32_t>(voter));
  for (const auto& [account, share] : d.rules.shares) {
    encoded.add_account(account);
    encoded.add_share(share);
  }
  if (d.rules.default_share) encoded.set_others(*d.rules.default_share);
  if (d.rules.retries_per_s) encoded.set_repeats(*d.rules.retries_per_s);
  if (d.rules.attempts) encoded.set_attempts(static_cast<std::uint32_t>(*d.rules.attempts));
  if (d.rules.budget_parts) encoded.set_nodes(static_cast<std::uint32_t>(*d.rules.budget_parts));
  for (const std::string& worker : d.rules.bans) encoded.add_ban(worker);
  for (const auto& [zone, left] : d.rules.zone_left)
    left ? encoded.add_leave(zone) : encoded.add_use(zone);
  return encoded.SerializeAsString();
}

std::optional<Document> Decode(std::string_view bytes, bool* later_schema) {
  if (later_schema != nullptr) *later_schema = false;
  wire::Document encoded;
  if (bytes.size() > kMaxDocumentBytes ||
      !encoded.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return std::nullopt;
  if (encoded.schema() > kSchema) {
    if (later_schema != nullptr) *later_schema = true;
    return std::nullopt;
  }
  if (encoded.account_size() != encoded.share_size() || encoded.voters_size() < 1 ||
      encoded.voters_size() > kMaxVoters || !IsAscending(encoded.voters()) ||
      !IsAscending(encoded.account()) || !IsAscending(encoded.ban()) ||
      !IsAscending(encoded.leave()) || !IsAscending(encoded.use()) || encoded.by() > 1'000'000 ||
      encoded.voters(encoded.voters_size() - 1) > 1'000'000 || encoded.attempts() > 1000 ||
      encoded.nodes() > 1000 || (encoded.has_attempts() && encoded.attempts() < 1) ||
      (encoded.has_nodes() && encoded.nodes() < 1) || !IsValidRate(encoded.others()) ||
      !IsValidRate(encoded.repeats()) || encoded.at_ms() > (1ull << 50) ||
      !std::all_of(encoded.share().begin(), encoded.share().end(), IsValidRate))
    return std::nullopt;
  Document d;
  d.schema = encoded.schema();
  d.number = encoded.number();
  d.previous_hash = encoded.before();
  d.proposer = static_cast<int>(encoded.by());
  d.proposed_at_ms = static_cast<std::int64_t>(encoded.at_ms());
  d.forced = encoded.forced();
  for (const std::uint32_t voter : encoded.voters()) d.voters.push_back(static_cast<int>(voter));
  for (int i = 0; i < encoded.account_size(); ++i)
    d.rules.shares[encoded.account(i)] = encoded.share(i);
  if (encoded.has_others()) d.rules.default_share = encoded.others();
  if (encoded.has_repeats()) d.rules.retries_per_s = encoded.repeats();
  if (encoded.has_attempts()) d.rules.attempts = static_cast<int>(encoded.attempts());
  if (encoded.has_nodes()) d.rules.budget_parts = static_cast<int>(encoded.nodes());
  d.rules.bans.insert(encoded.ban().begin(), encoded.ban().end());
  for (const std::string& zone : encoded.use()) d.rules.zone_left[zone] = false;
  for (const std::string& zone : encoded.leave()) d.rules.zone_left[zone] = true;
  // A document has exactly one encoding; another encoding of the same values would have another
  // hash.
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
