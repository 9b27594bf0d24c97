// Measures the slopes that docs/CAPACITY.md is worked out from.
#include "capacity/data_series.hpp"
#include "capacity/fleet_series.hpp"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iomanip>
#include <iostream>

namespace {

using namespace yuccaspan::bench;

/// A straight line explains the points if it explains this share of their variance.
constexpr double minRSquared = 0.9;

void printSeries(const Series &series, const Fit &fit)
{
    std::cout << series.name << " [" << series.valueUnit << "]\n   ";
    for (const Point &point : series.points)
        std::cout << "  " << point.size << ": " << std::setprecision(5) << point.value;
    std::cout << "\n    fit: " << fit.intercept << " + " << fit.slope << " for each of "
              << series.sizeUnit << " (R2 " << std::setprecision(4) << fit.rSquared << ")\n";
}

nlohmann::json toJson(const Series &series, const Fit &fit)
{
    nlohmann::json points = nlohmann::json::array();
    for (const Point &point : series.points)
        points.push_back({{"size", point.size}, {"value", point.value}});
    return {{"name", series.name},           {"sizeUnit", series.sizeUnit},
            {"valueUnit", series.valueUnit}, {"points", points},
            {"intercept", fit.intercept},    {"slope", fit.slope},
            {"rSquared", fit.rSquared}};
}

int run(int argc, char **argv)
{
    cxxopts::Options options("bench_capacity", "Measures slopes of state, messages and time.");
    options.add_options()("json", "write the series to a file", cxxopts::value<std::string>())(
        "seed", "accepted like the other benches' and without effect: nothing here is drawn",
        cxxopts::value<int>())("help", "print this text");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    std::vector<Series> all = measureData();
    const std::vector<Series> fleet = measureFleet();
    all.insert(all.end(), fleet.begin(), fleet.end());
    nlohmann::json document = nlohmann::json::array();
    for (const Series &series : all) {
        const Fit fit = fitLine(series.points);
        printSeries(series, fit);
        document.push_back(toJson(series, fit));
        if (fit.rSquared < minRSquared)
            std::cout << "    note: a line explains this badly; see the points.\n";
    }
    if (arguments.count("json") != 0)
        std::ofstream(arguments["json"].as<std::string>()) << document.dump(2) << '\n';
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception &failure) {
        std::cerr << "bench_capacity: " << failure.what() << '\n';
        return 2;
    }
}
