/// Measures the library's decisions against a baseline under load and faults.
#include "library_policy.hpp"
#include "report.hpp"
#include "static_policy.hpp"
#include "world.hpp"

#include <atomic>
#include <fstream>
#include <iostream>
#include <thread>

#include <cxxopts.hpp>

namespace yuccaspan::bench {

namespace {

struct Job
{
    const Shape *shape;
    Scenario scenario;
    std::uint64_t seed;
};

RunPair runJob(const Job &job)
{
    RunPair pair;
    pair.shape = job.shape->name;
    pair.scenario = job.scenario.name;
    pair.title = job.scenario.title;
    pair.seed = job.seed;
    const auto library = makeLibraryPolicy();
    const RunRecord record = World(*job.shape, job.scenario, job.seed).run(*library);
    pair.figures = evaluate(*job.shape, job.scenario, record);
    pair.seconds = record.seconds;
    const auto baseline = makeStaticPolicy();
    const RunRecord other = World(*job.shape, job.scenario, job.seed).run(*baseline);
    pair.baseline = evaluate(*job.shape, job.scenario, other);
    pair.baselineSeconds = other.seconds;
    return pair;
}

std::vector<RunPair> runAll(const std::vector<Job> &jobs, unsigned threads)
{
    std::vector<RunPair> pairs(jobs.size());
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t index = next++; index < jobs.size(); index = next++)
            pairs[index] = runJob(jobs[index]);
    };
    std::vector<std::thread> workers;
    for (unsigned index = 0; index < threads; ++index)
        workers.emplace_back(work);
    for (std::thread &worker : workers)
        worker.join();
    return pairs;
}

std::vector<Job> makeJobs(std::uint64_t firstSeed, std::uint64_t seeds, const std::string &filter,
                          const std::string &shapeFilter)
{
    std::vector<Job> jobs;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        for (const Scenario &scenario : allScenarios(seed)) {
            if (scenario.name.find(filter) == std::string::npos)
                continue;
            for (const Shape &shape : allShapes()) {
                if (shape.name.find(shapeFilter) != std::string::npos)
                    jobs.push_back({&shape, scenario, seed});
            }
        }
    }
    return jobs;
}

void keepFigures(std::vector<RunPair> &pairs, const std::string &filter)
{
    const auto differs = [&](const Figure &figure) {
        return figure.name.find(filter) == std::string::npos;
    };
    for (RunPair &pair : pairs) {
        std::erase_if(pair.figures, differs);
        std::erase_if(pair.baseline, differs);
    }
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("bench_policy",
                             "Measures the library's decisions beside static hashing with fixed "
                             "timeouts. Exit code 1 if a figure misses its bound.");
    options.add_options()("seed", "first seed",
                          cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seeds", "number of seeds", cxxopts::value<std::uint64_t>()->default_value("3"))(
        "json", "write all figures to this file", cxxopts::value<std::string>()->default_value(""))(
        "svg", "draw the time lines into this file",
        cxxopts::value<std::string>()->default_value(""))(
        "scenario", "only scenarios whose name contains this",
        cxxopts::value<std::string>()->default_value(""))(
        "shape", "only deployments whose name contains this",
        cxxopts::value<std::string>()->default_value(""))(
        "figure", "only figures whose name contains this",
        cxxopts::value<std::string>()->default_value(""))(
        "jobs", "runs at once", cxxopts::value<unsigned>()->default_value("3"))(
        "list", "list the scenarios")("help", "show this text");
    return options;
}

int run(int argc, char **argv)
{
    cxxopts::Options options = makeOptions();
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    const auto seed = parsed["seed"].as<std::uint64_t>();
    if (parsed.count("list") != 0) {
        for (const Scenario &scenario : allScenarios(seed))
            std::cout << scenario.name << "  " << scenario.title << '\n';
        return 0;
    }
    const auto jobs =
        makeJobs(seed, parsed["seeds"].as<std::uint64_t>(), parsed["scenario"].as<std::string>(),
                 parsed["shape"].as<std::string>());
    if (jobs.empty()) {
        std::cerr << "bench_policy: no scenario of that name\n";
        return 2;
    }
    std::vector<RunPair> pairs = runAll(jobs, std::max(1U, parsed["jobs"].as<unsigned>()));
    keepFigures(pairs, parsed["figure"].as<std::string>());
    if (pairs.front().figures.empty()) {
        std::cerr << "bench_policy: no figure of that name\n";
        return 2;
    }
    const std::size_t missed = writeTable(std::cout, pairs);
    if (const auto path = parsed["json"].as<std::string>(); !path.empty()) {
        std::ofstream file(path);
        writeJson(file, pairs);
    }
    if (const auto path = parsed["svg"].as<std::string>(); !path.empty()) {
        std::ofstream file(path);
        writeSvg(file, pairs);
    }
    return missed == 0 ? 0 : 1;
}

} // namespace

} // namespace yuccaspan::bench

int main(int argc, char **argv)
{
    try {
        return yuccaspan::bench::run(argc, argv);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "bench_policy: " << error.what() << '\n';
        return 2;
    }
}
