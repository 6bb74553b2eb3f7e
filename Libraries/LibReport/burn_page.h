#pragma once

#include <string>

#include "LibReport/burn_report.h"

namespace wagtailmount {

/// The report as one HTML page that loads nothing: its styles and plots are
/// within.
std::string ToPage(const burn_report& report);

}  // namespace wagtailmount
