#include "deployment.hpp"

#include <sys/socket.h>
#include <unistd.h>

namespace yuccaspan::review {

namespace {

constexpr std::size_t targetCount = 3;
constexpr std::chrono::seconds settleTimeout{30};
/// Rounds of two requests on a connection, for each of the paths.
constexpr int rounds = 10;
/// Longest time to wait for an answer; the requests state 1000 ms.
constexpr std::chrono::milliseconds answerTimeout{2500};
/// Time to look for bytes that follow the end of an answer.
constexpr std::chrono::milliseconds lookTime{150};

/// What was seen.
struct Sight
{
    int answered = 0;
    int served = 0; ///< With a 2xx.
    int strayBytes = 0; ///< Answers that were followed by bytes while no request was waiting.
    int foreignStarts = 0; ///< Later answers on the connection that didn't begin as an answer.
    int noAnswer = 0;
};

std::string requestText(const std::string &method, const std::string &path, const std::string &id)
{
    return method + ' ' + path + " HTTP/1.1\r\nHost: " + hostName + "\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: 1000\r\n\r\n";
}

std::string oneLine(std::string text)
{
    for (char &letter : text) {
        if (letter == '\r' || letter == '\n')
            letter = ' ';
    }
    return text;
}

/// Reads until the head is whole. The end of the head is the end of an answer to HEAD.
std::optional<std::string> readHead(int socket, std::string &buffer)
{
    while (true) {
        const std::size_t end = buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            std::string head = buffer.substr(0, end + 4);
            buffer.erase(0, end + 4);
            return head;
        }
        char bytes[4096];
        const ssize_t count = read(socket, bytes, sizeof bytes);
        if (count <= 0)
            return std::nullopt;
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
}

/// Sends a request, and after its answer a GET on the same connection.
void playRound(const std::string &address, const std::string &method, const std::string &path,
               const std::string &id, Record &record, Sight &sight)
{
    const int socket = connectTo(address, answerTimeout);
    if (socket < 0)
        return;
    std::string buffer;
    std::optional<std::string> answer;
    if (sendAll(socket, requestText(method, path, id)))
        answer = method == "HEAD" ? readHead(socket, buffer) : readMessage(socket, buffer);
    if (!answer) {
        record.line("caller " + id + ' ' + method + ' ' + path + ": no answer");
        ++sight.noAnswer;
        close(socket);
        return;
    }
    ++sight.answered;
    sight.served += answer->starts_with("HTTP/1.1 2") ? 1 : 0;
    record.line("caller " + id + ' ' + method + ' ' + path + ": " + oneLine(*answer));
    if (buffer.empty()) {
        std::this_thread::sleep_for(lookTime);
        char bytes[4096];
        const ssize_t count = recv(socket, bytes, sizeof bytes, MSG_DONTWAIT);
        if (count > 0)
            buffer.append(bytes, static_cast<std::size_t>(count));
    }
    if (!buffer.empty()) {
        ++sight.strayBytes;
        record.line("BROKEN MIXED: after that answer came, with no request waiting: "
                    + oneLine(buffer));
    }
    if (headerOf(*answer, "Connection") != "close") {
        const std::string next = id + "-next";
        std::optional<std::string> second;
        if (sendAll(socket, requestText("GET", "/lookup/x", next)))
            second = readMessage(socket, buffer);
        if (second && !second->starts_with("HTTP/1.1 ")) {
            ++sight.foreignStarts;
            record.line("BROKEN MIXED: " + next
                        + " on the same connection got: " + oneLine(*second));
        }
    }
    close(socket);
}

} // namespace

Verdict headRequests(const CaseOptions &options, Record &record)
{
    LabDeployment deployment(options, record, {targetCount, false});
    if (!deployment.settled(settleTimeout)) {
        record.line("not settled; " + deployment.summary());
        return Verdict::NotRun;
    }
    const std::string method = options.trouble ? "HEAD" : "GET";
    Sight known;
    Sight unknown;
    for (int round = 0; round < rounds; ++round) {
        const std::string &address = deployment.callers(static_cast<std::size_t>(round) % 3);
        const std::string number = std::to_string(round);
        playRound(address, method, "/lookup/x", "known-" + number, record, known);
        playRound(address, method, "/nowhere/x", "unknown-" + number, record, unknown);
    }
    const bool run = deployment.gatewaysRun();
    record.line(deployment.summary());
    const auto tell = [&record, &method](const char *path, const Sight &sight) {
        record.line(method + " on " + path + ": answered " + std::to_string(sight.answered)
                    + ", of these 2xx " + std::to_string(sight.served) + ", no answer "
                    + std::to_string(sight.noAnswer)
                    + ", followed by bytes with no request waiting "
                    + std::to_string(sight.strayBytes) + ", next answer began with other bytes "
                    + std::to_string(sight.foreignStarts));
    };
    tell("a route", known);
    tell("a path that has none", unknown);
    if (!run || known.answered + unknown.answered == 0)
        return Verdict::NotRun;
    const int broken =
        known.strayBytes + unknown.strayBytes + known.foreignStarts + unknown.foreignStarts;
    return broken > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace yuccaspan::review
