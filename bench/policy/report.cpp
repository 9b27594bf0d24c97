#include "report.hpp"

#include <iomanip>
#include <map>
#include <sstream>

#include <nlohmann/json.hpp>

namespace yuccaspan::bench {

namespace {

/// \brief A figure's worst values over the seeds.
struct Worst
{
    Figure library;
    Figure baseline;
    std::size_t missed = 0;
    std::size_t seeds = 0;
};

using Key = std::pair<std::string, std::string>; // scenario, shape

[[nodiscard]] const Figure *find(const std::vector<Figure> &figures, const std::string &name)
{
    for (const Figure &figure : figures) {
        if (figure.name == name)
            return &figure;
    }
    return nullptr;
}

void include(Worst &worst, const Figure &figure, const Figure *baseline)
{
    if (worst.seeds == 0 || figure.isWorseThan(worst.library))
        worst.library = figure;
    if (baseline != nullptr && (worst.seeds == 0 || baseline->isWorseThan(worst.baseline)))
        worst.baseline = *baseline;
    worst.missed += figure.isMet() ? 0 : 1;
    ++worst.seeds;
}

[[nodiscard]] std::string boundText(const Figure &figure)
{
    if (figure.kind == BoundKind::None)
        return "";
    std::ostringstream text;
    text << (figure.kind == BoundKind::AtMost ? "<= " : ">= ") << figure.bound;
    return text.str();
}

} // namespace

std::size_t writeTable(std::ostream &out, const std::vector<RunPair> &pairs)
{
    std::map<Key, std::vector<std::pair<std::string, Worst>>> groups;
    for (const RunPair &pair : pairs) {
        auto &rows = groups[{pair.scenario, pair.shape}];
        for (const Figure &figure : pair.figures) {
            auto row = std::find_if(rows.begin(), rows.end(),
                                    [&](const auto &each) { return each.first == figure.name; });
            if (row == rows.end())
                row = rows.insert(rows.end(), {figure.name, Worst()});
            include(row->second, figure, find(pair.baseline, figure.name));
        }
    }
    constexpr int nameWidth = 46;
    constexpr int valueWidth = 12;
    std::size_t missed = 0;
    out << std::setprecision(4);
    for (const auto &[key, rows] : groups) {
        out << key.first << "  " << key.second << "  (worst of " << rows.front().second.seeds
            << " seeds)\n";
        for (const auto &[name, worst] : rows) {
            missed += worst.missed > 0 ? 1 : 0;
            out << "  " << std::left << std::setw(nameWidth) << name << std::right
                << std::setw(valueWidth) << worst.library.value << std::setw(valueWidth)
                << worst.baseline.value << std::setw(valueWidth) << boundText(worst.library)
                << (worst.missed > 0 ? "  MISSED" : "") << '\n';
        }
    }
    out << missed << " figures miss their bound\n";
    return missed;
}

void writeJson(std::ostream &out, const std::vector<RunPair> &pairs)
{
    const auto toJson = [](const std::vector<Figure> &figures) {
        nlohmann::json rows = nlohmann::json::array();
        for (const Figure &figure : figures) {
            nlohmann::json row{{"name", figure.name}, {"value", figure.value}};
            if (figure.kind != BoundKind::None) {
                row["bound"] = boundText(figure);
                row["met"] = figure.isMet();
            }
            rows.push_back(std::move(row));
        }
        return rows;
    };
    const auto timeLine = [](const std::vector<SecondRecord> &seconds) {
        nlohmann::json rows = nlohmann::json::array();
        for (const SecondRecord &second : seconds)
            rows.push_back({{"imbalance", second.imbalance},
                            {"p99", second.p99},
                            {"done", second.worthDone},
                            {"possible", second.worthPossible},
                            {"moves", second.moves},
                            {"moved", second.loadMoved}});
        return rows;
    };
    nlohmann::json runs = nlohmann::json::array();
    for (const RunPair &pair : pairs) {
        runs.push_back({{"scenario", pair.scenario},
                        {"shape", pair.shape},
                        {"seed", pair.seed},
                        {"library", toJson(pair.figures)},
                        {"baseline", toJson(pair.baseline)},
                        {"seconds", timeLine(pair.seconds)}});
    }
    out << nlohmann::json{{"bench", "policy"}, {"runs", std::move(runs)}}.dump(1) << '\n';
}

} // namespace yuccaspan::bench
