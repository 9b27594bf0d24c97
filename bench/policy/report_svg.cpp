/// Draws time lines as SVG: one row a run, one panel a measure.
#include "report.hpp"

#include <cmath>

namespace yuccaspan::bench {

namespace {

constexpr double panelWidth = 260;
constexpr double panelHeight = 90;
constexpr double margin = 30;
constexpr double titleHeight = 26;

/// \brief One measure of the time line.
struct Panel
{
    const char *title;
    double (*value)(const SecondRecord &);
    double top; ///< Value at the upper edge.
};

double service(const SecondRecord &second)
{
    return second.worthPossible > 0 ? second.worthDone / second.worthPossible : 1;
}
double tailMs(const SecondRecord &second)
{
    return second.p99;
}
double imbalance(const SecondRecord &second)
{
    return second.imbalance;
}
double moved(const SecondRecord &second)
{
    return second.loadMoved;
}

constexpr Panel panels[] = {
    {"weighted service of what capacity allows", service, 1.2},
    {"p99, ms (up to 400)", tailMs, 400},
    {"imbalance (up to 2.5)", imbalance, 2.5},
    {"part of the load moved (up to 0.4)", moved, 0.4},
};

void drawLine(std::ostream &out, const Panel &panel, const std::vector<SecondRecord> &seconds,
              double left, double top, const char *colour)
{
    out << "<polyline fill='none' stroke='" << colour << "' stroke-width='1.2' points='";
    for (std::size_t index = 0; index < seconds.size(); ++index) {
        const double value = std::min(panel.value(seconds[index]), panel.top);
        const double x =
            left + panelWidth * static_cast<double>(index) / static_cast<double>(seconds.size());
        const double y = top + panelHeight * (1 - value / panel.top);
        out << x << ',' << y << ' ';
    }
    out << "'/>\n";
}

void drawRow(std::ostream &out, const RunPair &pair, double top)
{
    out << "<text x='" << margin << "' y='" << top << "' font-weight='bold'>" << pair.scenario
        << ", " << pair.shape << ", seed " << pair.seed << ": " << pair.title << "</text>\n";
    double left = margin;
    for (const Panel &panel : panels) {
        const double upper = top + titleHeight;
        out << "<text x='" << left << "' y='" << upper - 4 << "'>" << panel.title << "</text>\n"
            << "<rect x='" << left << "' y='" << upper << "' width='" << panelWidth << "' height='"
            << panelHeight << "' fill='none' stroke='#999'/>\n";
        drawLine(out, panel, pair.baselineSeconds, left, upper, "#c60");
        drawLine(out, panel, pair.seconds, left, upper, "#06c");
        left += panelWidth + margin;
    }
}

} // namespace

void writeSvg(std::ostream &out, const std::vector<RunPair> &pairs)
{
    std::vector<const RunPair *> rows;
    for (const RunPair &pair : pairs) {
        if (pair.seed == pairs.front().seed)
            rows.push_back(&pair);
    }
    const double rowHeight = titleHeight + panelHeight + margin;
    const double width = margin + static_cast<double>(std::size(panels)) * (panelWidth + margin);
    const double height = 2 * margin + static_cast<double>(rows.size()) * rowHeight;
    out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width << "' height='" << height
        << "' font-family='sans-serif' font-size='11'>\n"
        << "<rect width='100%' height='100%' fill='white'/>\n"
        << "<text x='" << margin
        << "' y='18'>Each panel spans the run; blue: the library; orange: "
           "static hashing with fixed timeouts.</text>\n";
    double top = 2 * margin;
    for (const RunPair *pair : rows) {
        drawRow(out, *pair, top);
        top += rowHeight;
    }
    out << "</svg>\n";
}

} // namespace yuccaspan::bench
