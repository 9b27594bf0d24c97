#include "settings/json_reader.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace yuccaspan::impl {

namespace {

/// Converts byte offsets to lines and columns. Efficient for increasing offsets.
class LineCounter
{
public:
    LineCounter(std::string file, std::string_view text) : m_file(std::move(file)), m_text(text) { }

    /// Line and column of a byte of the text.
    SourcePlace place(std::size_t offset)
    {
        offset = std::min(offset, m_text.size());
        if (offset < m_offset)
            m_offset = m_lineStart = m_line = 0;
        for (; m_offset < offset; ++m_offset) {
            if (m_text[m_offset] != '\n')
                continue;
            ++m_line;
            m_lineStart = m_offset + 1;
        }
        return {m_file, "", static_cast<std::uint32_t>(m_line + 1),
                static_cast<std::uint32_t>(offset - m_lineStart + 1)};
    }

private:
    std::string m_file;
    std::string_view m_text;
    std::size_t m_offset = 0;
    std::size_t m_line = 0;
    std::size_t m_lineStart = 0;
};

/// Offset of the opening quote of the string literal that ends just before `end`.
std::size_t openingQuote(std::string_view text, std::size_t end)
{
    if (end < 2)
        return 0;
    std::size_t at = end - 2;
    while (at > 0) {
        std::size_t backslashes = 0;
        while (backslashes < at && text[at - 1 - backslashes] == '\\')
            ++backslashes;
        if (text[at] == '"' && backslashes % 2 == 0)
            return at;
        --at;
    }
    return 0;
}

/// SAX handler that builds the document and records the location of each member.
class PlaceRecorder final : public nlohmann::json_sax<Json>
{
public:
    PlaceRecorder(std::string file, std::string_view text, std::istream &stream)
        : m_lines(std::move(file), text), m_text(text), m_stream(stream)
    {
        m_result.places[""] = m_lines.place(0);
    }

    ParsedJson take()
    {
        if (!m_result.errors.empty())
            m_result.value = nullptr;
        return std::move(m_result);
    }

    bool null() override { return addScalar(nullptr); }
    bool boolean(bool value) override { return addScalar(value); }
    bool number_integer(number_integer_t value) override { return addScalar(value); }
    bool number_unsigned(number_unsigned_t value) override { return addScalar(value); }
    bool number_float(number_float_t value, const string_t & /*text*/) override
    {
        return addScalar(value);
    }
    bool binary(binary_t & /*value*/) override { return false; }
    bool string(string_t &value) override
    {
        if (value.size() > maxJsonStringBytes)
            return fail(ErrorCode::LimitExceeded, "the string is longer than 4096 bytes");
        return addScalar(std::move(value));
    }
    bool start_object(std::size_t /*size*/) override { return open(Json::object()); }
    bool end_object() override { return close(); }
    bool start_array(std::size_t /*size*/) override { return open(Json::array()); }
    bool end_array() override { return close(); }
    bool key(string_t &name) override;
    bool parse_error(std::size_t position, const std::string &lastToken,
                     const nlohmann::detail::exception &failure) override;

private:
    struct Level
    {
        Json *container;
        std::string pointer;
    };

    [[nodiscard]] std::size_t offset() const
    {
        const auto at = m_stream.rdbuf()->pubseekoff(0, std::ios::cur, std::ios::in);
        return at < 0 ? m_text.size() : static_cast<std::size_t>(at);
    }

    bool fail(ErrorCode code, std::string text)
    {
        m_result.errors.push_back({code, std::move(text), m_lines.place(offset())});
        return false;
    }

    Json *add(Json &&value)
    {
        if (m_levels.empty())
            return &(m_result.value = std::move(value));
        Json &container = *m_levels.back().container;
        if (container.is_array()) {
            container.push_back(std::move(value));
            return &container.back();
        }
        return &(container[m_key] = std::move(value));
    }

    bool addScalar(Json &&value)
    {
        add(std::move(value));
        return true;
    }

    bool open(Json &&empty)
    {
        if (m_levels.size() >= maxJsonDepth)
            return fail(ErrorCode::LimitExceeded, "the document is nested deeper than 32 levels");
        const std::string pointer = nextPointer();
        m_levels.push_back({add(std::move(empty)), pointer});
        return true;
    }

    bool close()
    {
        m_levels.pop_back();
        return true;
    }

    [[nodiscard]] std::string nextPointer() const
    {
        if (m_levels.empty())
            return "";
        const Level &level = m_levels.back();
        if (level.container->is_array())
            return childPointer(level.pointer, std::to_string(level.container->size()));
        return childPointer(level.pointer, m_key);
    }

    LineCounter m_lines;
    std::string_view m_text;
    std::istream &m_stream;
    ParsedJson m_result;
    std::vector<Level> m_levels;
    std::string m_key;
};

bool PlaceRecorder::key(string_t &name)
{
    if (name.size() > maxJsonStringBytes)
        return fail(ErrorCode::LimitExceeded, "the key is longer than 4096 bytes");
    m_key = name;
    const std::string pointer = nextPointer();
    SourcePlace place = m_lines.place(openingQuote(m_text, offset()));
    place.pointer = pointer;
    if (m_levels.back().container->contains(name))
        m_result.errors.push_back({ErrorCode::ParseFailed, "duplicate key", place});
    m_result.places[pointer] = std::move(place);
    return true;
}

bool PlaceRecorder::parse_error(std::size_t position, const std::string & /*lastToken*/,
                                const nlohmann::detail::exception &failure)
{
    std::string text = failure.what();
    const std::size_t tag = text.find("] ");
    if (tag != std::string::npos)
        text.erase(0, tag + 2);
    const std::size_t at = position == 0 ? 0 : position - 1;
    m_result.errors.push_back({ErrorCode::ParseFailed, text, m_lines.place(at)});
    return false;
}

} // namespace

std::string childPointer(const std::string &parent, std::string_view key)
{
    std::string pointer = parent + '/';
    for (const char character : key) {
        if (character == '~')
            pointer += "~0";
        else if (character == '/')
            pointer += "~1";
        else
            pointer += character;
    }
    return pointer;
}

ParsedJson parseJson(const std::string &file, std::string_view text)
{
    if (text.size() > maxDocumentBytes) {
        ParsedJson tooLong;
        tooLong.errors.push_back({ErrorCode::LimitExceeded,
                                  "the document is longer than 1000000 bytes",
                                  {file, "", 0, 0}});
        return tooLong;
    }
    std::istringstream stream{std::string(text)};
    PlaceRecorder recorder(file, text, stream);
    Json::sax_parse(stream, &recorder);
    return recorder.take();
}

} // namespace yuccaspan::impl
