#include "daemon/instance_settings.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <limits>
#include <set>
#include <sstream>
#include <utility>

namespace yuccaspan::impl {

namespace {

using Json = nlohmann::json;

/// Reads members of a JSON object and collects errors.
class ObjectReader
{
public:
    ObjectReader(const Json &object, std::string pointer, const std::string &file,
                 std::vector<Error> &errors)
        : m_object(object), m_pointer(std::move(pointer)), m_file(file), m_errors(errors)
    { }

    void text(const char *name, std::string &out, bool required = false)
    {
        const Json *member = find(name, required);
        if (member == nullptr)
            return;
        if (!member->is_string() || (required && member->get<std::string>().empty()))
            fail(name, "expected a non-empty string");
        else
            out = member->get<std::string>();
    }

    template <typename T>
    void number(const char *name, T &out, std::uint64_t minValue, std::uint64_t maxValue)
    {
        const Json *member = find(name, false);
        if (member == nullptr)
            return;
        const bool fits = member->is_number_unsigned() && member->get<std::uint64_t>() >= minValue
            && member->get<std::uint64_t>() <= maxValue;
        if (fits)
            out = static_cast<T>(member->get<std::uint64_t>());
        else
            fail(name,
                 "expected a whole number from " + std::to_string(minValue) + " to "
                     + std::to_string(maxValue));
    }

    void flag(const char *name, bool &out)
    {
        const Json *member = find(name, false);
        if (member == nullptr)
            return;
        if (member->is_boolean())
            out = member->get<bool>();
        else
            fail(name, "expected true or false");
    }

    void milliseconds(const char *name, Duration &out)
    {
        constexpr std::uint64_t maxMs = 3600000;
        std::uint64_t count = std::chrono::duration_cast<std::chrono::milliseconds>(out).count();
        number(name, count, 0, maxMs);
        out = std::chrono::milliseconds(count);
    }

    void hostPort(const char *name, HostPort &out, bool required)
    {
        std::string address;
        text(name, address, required);
        if (address.empty())
            return;
        const Result<HostPort> parsed = parseHostPort(address);
        if (parsed)
            out = *parsed;
        else
            fail(name, parsed.error().text);
    }

    /// An object member, or an empty object if it is absent.
    Json object(const char *name)
    {
        const Json *member = find(name, false);
        if (member == nullptr)
            return Json::object();
        if (member->is_object())
            return *member;
        fail(name, "expected an object");
        return Json::object();
    }

    Json array(const char *name)
    {
        const Json *member = find(name, false);
        if (member == nullptr)
            return Json::array();
        if (member->is_array())
            return *member;
        fail(name, "expected an array");
        return Json::array();
    }

    /// Reports members that were not read as unknown keys.
    void rejectUnknown()
    {
        for (const auto &[name, value] : m_object.items()) {
            if (!m_known.contains(name))
                fail(name, "unknown key");
        }
    }

    void fail(const std::string &name, std::string text)
    {
        m_errors.push_back(
            {ErrorCode::SchemaViolation, std::move(text), {m_file, m_pointer + "/" + name, 0, 0}});
    }

private:
    const Json *find(const char *name, bool required)
    {
        m_known.insert(name);
        const auto found = m_object.find(name);
        if (found != m_object.end())
            return &*found;
        if (required)
            fail(name, "required key is missing");
        return nullptr;
    }

    const Json &m_object;
    const std::string m_pointer;
    const std::string &m_file;
    std::vector<Error> &m_errors;
    std::set<std::string> m_known;
};

/// Reads one section with the given function and rejects unknown keys.
template <typename F>
void section(ObjectReader &root, const char *name, const std::string &file,
             std::vector<Error> &errors, F &&read)
{
    const Json object = root.object(name);
    ObjectReader reader(object, std::string("/") + name, file, errors);
    read(reader);
    reader.rejectUnknown();
}

void readListen(ObjectReader &reader, ListenAddress &out)
{
    reader.text("address", out.address);
    reader.number("port", out.port, 0, std::numeric_limits<std::uint16_t>::max());
}

void readSeeds(ObjectReader &reader, std::vector<HostPort> &out)
{
    for (const Json &seed : reader.array("seeds")) {
        const Result<HostPort> parsed =
            parseHostPort(seed.is_string() ? seed.get<std::string>() : std::string());
        if (parsed)
            out.push_back(*parsed);
        else
            reader.fail("seeds", parsed.error().text);
    }
}

void readSections(ObjectReader &root, const std::string &file, std::vector<Error> &errors,
                  InstanceSettings &out)
{
    constexpr std::uint64_t maxWorkers = 64;
    constexpr std::uint64_t maxLines = 1U << 20U;
    std::string zone;
    root.text("name", out.name, true);
    root.text("zone", zone, true);
    out.zone = ZoneId(zone);
    root.hostPort("store", out.store, true);
    section(root, "callers", file, errors, [&](ObjectReader &reader) {
        readListen(reader, out.callers);
        reader.number("workers", out.workers, 1, maxWorkers);
    });
    section(root, "peers", file, errors, [&](ObjectReader &reader) {
        readListen(reader, out.peers);
        readSeeds(reader, out.seeds);
    });
    section(root, "admin", file, errors,
            [&](ObjectReader &reader) { readListen(reader, out.admin); });
    section(root, "log", file, errors, [&](ObjectReader &reader) {
        reader.text("file", out.log.file);
        bool json = false;
        reader.flag("json", json);
        out.log.form = json ? LogForm::Json : LogForm::Text;
        reader.flag("routing", out.log.routing);
        reader.number("ringLines", out.log.ringLines, 1, maxLines);
    });
    section(root, "stop", file, errors, [&](ObjectReader &reader) {
        reader.milliseconds("balancerWaitMs", out.balancerWait);
        reader.milliseconds("limitMs", out.stopLimit);
    });
    root.rejectUnknown();
}

} // namespace

std::variant<InstanceSettings, std::vector<Error>> parseInstanceSettings(const std::string &text,
                                                                         const std::string &file)
{
    std::vector<Error> errors;
    const Json document = Json::parse(text, nullptr, false);
    if (!document.is_object()) {
        errors.push_back({ErrorCode::ParseFailed, "expected a JSON object", {file, "", 0, 0}});
        return errors;
    }
    InstanceSettings settings;
    ObjectReader root(document, "", file, errors);
    readSections(root, file, errors, settings);
    if (!errors.empty())
        return errors;
    return settings;
}

std::variant<InstanceSettings, std::vector<Error>> readInstanceSettings(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream) {
        return std::vector<Error>{
            {ErrorCode::NotFound, "cannot open the settings file", {file, "", 0, 0}}};
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return parseInstanceSettings(text.str(), file);
}

} // namespace yuccaspan::impl
