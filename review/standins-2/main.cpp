#include "cases.hpp"

#include <cstdio>

namespace {

using namespace yuccaspan::review;

constexpr std::chrono::seconds runLimit{110};
constexpr int argumentCount = 6;

const char *toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Held:
        return "the rule held";
    case Verdict::Broken:
        return "the rule was broken";
    case Verdict::NotRun:
        break;
    }
    return "could not run";
}

} // namespace

// Arguments: the case, the gateway's program, a temporary folder, the record, 0 or 1 for the
// trouble.
int main(int count, char **arguments)
{
    if (count != argumentCount)
        return static_cast<int>(Verdict::NotRun);
    guardRun(runLimit);
    const std::string name = arguments[1];
    const CaseOptions options{arguments[2], arguments[3], std::string(arguments[5]) != "0"};
    Record record(arguments[4]);
    record.line("case " + name + (options.trouble ? "" : " without the trouble"));
    Verdict verdict = Verdict::NotRun;
    if (name == "false-grant-answer")
        verdict = falseGrantAnswer(options, record);
    else if (name == "head-requests")
        verdict = headRequests(options, record);
    else if (name == "reborn-grant")
        verdict = rebornGrant(options, record);
    else if (name == "cold-return")
        verdict = coldReturn(options, record);
    record.line(toString(verdict));
    std::puts(toString(verdict));
    return static_cast<int>(verdict);
}
