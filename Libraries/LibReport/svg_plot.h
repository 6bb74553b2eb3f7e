#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibReport/burn_report.h"

namespace wagtailmount {

/// One line of a plot.
struct plot_line {
  std::string name;
  std::vector<burn_point> points;  ///< In the order of time.
};

/// A plot of values over time.
struct plot {
  std::string title;
  std::string unit;
  std::vector<plot_line> lines;
  std::optional<double> limit;  ///< Drawn as a line across.
};

/// Text for the inside of HTML and SVG elements and attributes.
std::string EscapeMarkup(std::string_view text);

/// The plot as one SVG element, with its axis marks and names of lines.
std::string ToSvg(const plot& drawn);

}  // namespace wagtailmount
