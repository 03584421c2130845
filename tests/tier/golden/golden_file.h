// Tables of bytes that were written by an earlier state of the code: a name and hexadecimal digits
// a line, "-" for no bytes.
#ifndef PEARREACH_TESTS_TIER_GOLDEN_GOLDEN_FILE_H_
#define PEARREACH_TESTS_TIER_GOLDEN_GOLDEN_FILE_H_

#include <map>
#include <string>

#include "samples.h"

namespace pearreach::golden {

using Rows = std::map<std::string, std::string>;  // name -> bytes

std::string DataPath(const std::string& file);
// PEARREACH_WRITE_GOLDEN=1 is set: files are written anew from the present code.
bool IsWriting();

std::string HexOf(std::string_view bytes);
Rows ReadRows(const std::string& file);
void WriteRowsTo(const std::string& file, const Samples& samples);

// Fails unless the file has a row for each sample and no other, with the bytes that the present
// code makes, and reading each row and writing it again gives the same.
void CheckFile(const std::string& file, const Samples& samples);

// The records of the rows that RecordRows wrote with this prefix.
std::map<std::string, std::string> RecordsIn(const Rows& rows, const std::string& prefix);

}  // namespace pearreach::golden

#endif  // PEARREACH_TESTS_TIER_GOLDEN_GOLDEN_FILE_H_
