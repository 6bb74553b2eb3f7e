#include "LibReport/svg_plot.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace wagtailmount {

namespace {

constexpr double kWidth = 640;
constexpr double kHeight = 220;
constexpr double kLeft = 60;
constexpr double kRight = 10;
constexpr double kTop = 28;
constexpr double kBottom = 40;
constexpr double kNameStep = 120;
constexpr double kMillisecondsPerSecond = 1'000;

constexpr std::array<std::string_view, 6> kColours{
    "#1b6ca8", "#c0392b", "#1e8449", "#7d3c98", "#b9770e", "#444444"};

std::string_view ColourOf(std::size_t line) {
  return kColours[line % kColours.size()];
}

/// The values that the edges of a plot stand for.
struct plot_range {
  std::int64_t begin_unix_ms = 0;
  std::int64_t end_unix_ms = 0;
  double highest = 1;

  double XOf(std::int64_t unix_ms) const {
    const auto span = static_cast<double>(
        std::max<std::int64_t>(end_unix_ms - begin_unix_ms, 1));
    return kLeft + (kWidth - kLeft - kRight) *
                       static_cast<double>(unix_ms - begin_unix_ms) / span;
  }

  double YOf(double value) const {
    return kHeight - kBottom - (kHeight - kTop - kBottom) * value / highest;
  }
};

plot_range RangeOf(const plot& drawn) {
  plot_range range;
  bool is_first = true;
  double highest = drawn.limit.value_or(0);
  for (const auto& line : drawn.lines) {
    for (const auto& point : line.points) {
      highest = std::max(highest, point.value);
      range.begin_unix_ms = is_first
                                ? point.unix_ms
                                : std::min(range.begin_unix_ms, point.unix_ms);
      range.end_unix_ms =
          is_first ? point.unix_ms : std::max(range.end_unix_ms, point.unix_ms);
      is_first = false;
    }
  }
  range.highest = highest > 0 ? highest : 1;
  return range;
}

void DrawText(std::ostream& out, double x, double y, std::string_view anchor,
              std::string_view text) {
  out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor
      << "\">" << EscapeMarkup(text) << "</text>\n";
}

void DrawLevel(std::ostream& out, const plot_range& range, double value,
               std::string_view colour) {
  const double y = range.YOf(value);
  out << "<line x1=\"" << kLeft << "\" x2=\"" << kWidth - kRight << "\" y1=\""
      << y << "\" y2=\"" << y << "\" stroke=\"" << colour << "\"/>\n";
  std::ostringstream mark;
  mark.precision(3);
  mark << value;
  DrawText(out, kLeft - 4, y + 4, "end", mark.str());
}

void DrawLine(std::ostream& out, const plot_range& range, const plot_line& line,
              std::string_view colour) {
  out << "<polyline fill=\"none\" stroke=\"" << colour << "\" points=\"";
  for (const auto& point : line.points) {
    out << range.XOf(point.unix_ms) << "," << range.YOf(point.value) << " ";
  }
  out << "\"/>\n";
  for (const auto& point : line.points) {
    out << "<circle r=\"2\" fill=\"" << colour << "\" cx=\""
        << range.XOf(point.unix_ms) << "\" cy=\"" << range.YOf(point.value)
        << "\"/>\n";
  }
}

void DrawNames(std::ostream& out, const plot& drawn) {
  for (std::size_t i = 0; i < drawn.lines.size(); ++i) {
    const double x = kLeft + kNameStep * static_cast<double>(i);
    out << "<rect width=\"10\" height=\"4\" x=\"" << x << "\" y=\""
        << kHeight - 10 << "\" fill=\"" << ColourOf(i) << "\"/>\n";
    DrawText(out, x + 14, kHeight - 5, "start", drawn.lines[i].name);
  }
}

}  // namespace

std::string EscapeMarkup(std::string_view text) {
  std::string escaped;
  for (const char character : text) {
    switch (character) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      case '\'':
        escaped += "&#39;";
        break;
      default:
        escaped.push_back(character);
    }
  }
  return escaped;
}

std::string ToSvg(const plot& drawn) {
  const plot_range range = RangeOf(drawn);
  std::ostringstream out;
  out << "<svg viewBox=\"0 0 " << kWidth << " " << kHeight << "\" width=\""
      << kWidth << "\" height=\"" << kHeight << "\" role=\"img\">\n";
  DrawText(out, kLeft, kTop - 12, "start",
           drawn.title + " (" + drawn.unit + ")");
  DrawLevel(out, range, 0, "#999999");
  DrawLevel(out, range, range.highest, "#dddddd");
  if (drawn.limit.has_value()) {
    DrawLevel(out, range, *drawn.limit, "#c0392b");
  }
  for (std::size_t i = 0; i < drawn.lines.size(); ++i) {
    DrawLine(out, range, drawn.lines[i], ColourOf(i));
  }
  const auto seconds =
      static_cast<double>(range.end_unix_ms - range.begin_unix_ms) /
      kMillisecondsPerSecond;
  std::ostringstream span;
  span << seconds << " s before";
  DrawText(out, kLeft, kHeight - kBottom + 16, "start", span.str());
  DrawText(out, kWidth - kRight, kHeight - kBottom + 16, "end", "last round");
  DrawNames(out, drawn);
  out << "</svg>\n";
  return out.str();
}

}  // namespace wagtailmount
