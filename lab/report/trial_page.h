// The page of a trial: nodes as rows over time, faults as bands, what each node hears and what was
// violated as marks. It owns the order of what is shown, and shows nothing that the history lacks.
#ifndef PEARREACH_LAB_REPORT_TRIAL_PAGE_H_
#define PEARREACH_LAB_REPORT_TRIAL_PAGE_H_

#include <string>

#include "lab/trial/history.h"

namespace pearreach::lab {

std::string ReportOfTrial(const History& history, const std::string& title);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_REPORT_TRIAL_PAGE_H_
