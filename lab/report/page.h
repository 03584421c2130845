// Pages of a report: one self-contained file each, of an experiment's results or of a capture. It
// owns the order of what is shown; it must never show a figure that its source does not have.
#ifndef PEARREACH_LAB_REPORT_PAGE_H_
#define PEARREACH_LAB_REPORT_PAGE_H_

#include <string>

#include "lab/experiment/results.h"

namespace pearreach::lab {

// A whole page around a body.
std::string Page(const std::string& title, const std::string& body);
std::string ReportOf(const Results& results);
// Throws capture::Unreadable.
std::string ReportOfCapture(const std::string& path);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_REPORT_PAGE_H_
