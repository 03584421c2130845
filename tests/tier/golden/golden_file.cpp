#include "golden_file.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <fstream>
#include <set>

namespace pearreach::golden {
namespace {

constexpr char kDigits[] = "0123456789abcdef";
constexpr char kNoBytes[] = "-";
constexpr char kPaddingDigits[] = "..";

std::string BytesOf(const std::string& hex) {
  if (hex == kNoBytes) return {};
  CPPUNIT_ASSERT_MESSAGE("odd number of digits", hex.size() % 2 == 0);
  std::string bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
  }
  return bytes;
}

// The digits of the bytes, with those of padding left out.
std::string ComparableHex(std::string_view bytes, const std::vector<std::size_t>& padding) {
  std::string hex = HexOf(bytes);
  for (const std::size_t position : padding) {
    if (2 * position + 1 < hex.size()) hex.replace(2 * position, 2, kPaddingDigits);
  }
  return hex;
}

// What is wrong with the sample's row; empty: nothing.
std::string FaultOf(const Sample& sample, const Rows& rows) {
  const auto row = rows.find(sample.name);
  if (row == rows.end()) return "no row for " + sample.name + "\n";
  const std::string golden = ComparableHex(row->second, sample.padding);
  const std::string written = ComparableHex(sample.bytes, sample.padding);
  std::string fault;
  if (written != golden) {
    fault += sample.name + " is written otherwise:\n  " + golden + "\n  " + written + "\n";
  }
  if (sample.rewrite == nullptr) return fault;
  const std::string rewritten = ComparableHex(sample.rewrite(row->second), sample.padding);
  if (rewritten != golden) {
    fault += sample.name + " is read otherwise:\n  " + golden + "\n  " + rewritten + "\n";
  }
  return fault;
}

}  // namespace

std::string DataPath(const std::string& file) { return std::string(GOLDEN_DATA) + "/" + file; }

bool IsWriting() {
  const char* wanted = std::getenv("PEARREACH_WRITE_GOLDEN");
  return wanted != nullptr && std::string(wanted) == "1";
}

std::string HexOf(std::string_view bytes) {
  if (bytes.empty()) return kNoBytes;
  std::string hex;
  for (const unsigned char byte : bytes) {
    hex.push_back(kDigits[byte >> 4]);
    hex.push_back(kDigits[byte & 15]);
  }
  return hex;
}

Rows ReadRows(const std::string& file) {
  std::ifstream in(DataPath(file));
  Rows rows;
  std::string name, hex;
  while (in >> name >> hex) {
    CPPUNIT_ASSERT_MESSAGE("two rows of " + name, rows.emplace(name, BytesOf(hex)).second);
  }
  CPPUNIT_ASSERT_MESSAGE("no rows in " + file, !rows.empty());
  return rows;
}

void WriteRowsTo(const std::string& file, const Samples& samples) {
  std::ofstream out(DataPath(file), std::ios::trunc);
  for (const Sample& sample : samples) out << sample.name << ' ' << HexOf(sample.bytes) << '\n';
  CPPUNIT_ASSERT_MESSAGE("cannot write " + file, out.good());
}

void CheckFile(const std::string& file, const Samples& samples) {
  if (IsWriting()) WriteRowsTo(file, samples);
  const Rows rows = ReadRows(file);
  std::set<std::string> names;
  std::string faults;
  for (const Sample& sample : samples) {
    if (!names.insert(sample.name).second) faults += "two samples of " + sample.name + "\n";
    faults += FaultOf(sample, rows);
  }
  for (const auto& [name, bytes] : rows) {
    if (!names.contains(name)) faults += "no sample for the row " + name + "\n";
  }
  CPPUNIT_ASSERT_MESSAGE(file + ":\n" + faults, faults.empty());
}

std::map<std::string, std::string> RecordsIn(const Rows& rows, const std::string& prefix) {
  std::map<std::string, std::string> records;
  for (int number = 0;; ++number) {
    const std::string name = prefix + "." + std::to_string(number);
    const auto key = rows.find(name + ".key"), value = rows.find(name + ".value");
    if (key == rows.end() || value == rows.end()) break;
    records[key->second] = value->second;
  }
  CPPUNIT_ASSERT_MESSAGE("no records " + prefix, !records.empty());
  return records;
}

}  // namespace pearreach::golden
