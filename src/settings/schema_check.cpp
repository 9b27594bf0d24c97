#include "settings/schema_check.hpp"
#include "yuccaspan/settings_io.hpp"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <algorithm>
#include <regex>
#include <set>

namespace yuccaspan::impl {

namespace {

constexpr std::size_t maxQuotedBytes = 60; // bytes of a value quoted in an error message

/// The schema as JSON and in valijson's representation.
struct CompiledSchema
{
    Json text = Json::parse(settingsSchema());
    valijson::Schema tree;

    CompiledSchema()
    {
        valijson::SchemaParser parser(valijson::SchemaParser::kDraft7);
        const valijson::adapters::NlohmannJsonAdapter adapter(text);
        parser.populateSchema(adapter, tree);
    }
};

const CompiledSchema &compiledSchema()
{
    static const CompiledSchema schema;
    return schema;
}

/// Resolves a local `$ref`.
const Json &resolve(const Json &schema)
{
    const auto reference = schema.find("$ref");
    if (reference == schema.end())
        return schema;
    const std::string target = reference->get<std::string>().substr(1);
    return compiledSchema().text.at(Json::json_pointer(target));
}

/// The subschema for a member of an object, or null.
const Json *memberSchema(const Json &schema, const std::string &key)
{
    const auto properties = schema.find("properties");
    if (properties != schema.end() && properties->contains(key))
        return &resolve(properties->at(key));
    const auto additional = schema.find("additionalProperties");
    if (additional != schema.end() && additional->is_object())
        return &resolve(*additional);
    return nullptr;
}

/// The range of a number, for error messages.
std::string rangeText(const Json &schema)
{
    std::string text;
    if (schema.contains("minimum"))
        text += " from " + schema["minimum"].dump();
    if (schema.contains("exclusiveMinimum"))
        text += " above " + schema["exclusiveMinimum"].dump();
    if (schema.contains("maximum"))
        text += " to " + schema["maximum"].dump();
    return text;
}

/// The values that the schema accepts, for error messages.
std::string expectedText(const Json &schema)
{
    const std::string type = schema.value("type", "value");
    if (schema.contains("enum"))
        return "one of " + schema["enum"].dump();
    if (type == "integer" || type == "number")
        return (type == "integer" ? "an integer" : "a number") + rangeText(schema);
    if (type == "boolean")
        return "true or false";
    if (type == "string" && schema.contains("pattern"))
        return "a string matching " + schema["pattern"].get<std::string>();
    if (type == "string")
        return "a string of at most " + schema.value("maxLength", Json(0)).dump() + " bytes";
    if (schema.contains("minProperties"))
        return "an object with at least one member";
    return "an object";
}

/// A value as quoted in error messages.
std::string quoted(const Json &value)
{
    if (value.is_object())
        return value.empty() ? "an empty object" : "an object";
    if (value.is_array())
        return "an array";
    std::string text = value.dump(-1, ' ', true, Json::error_handler_t::replace);
    if (text.size() > maxQuotedBytes)
        text = text.substr(0, maxQuotedBytes) + "...";
    return text;
}

/// Creates error messages for the values that the validator rejected.
class Explainer
{
public:
    explicit Explainer(const Json &document) : m_document(document) { }

    /// Adds the errors of the value at a validation context.
    void explain(const std::vector<std::string> &context)
    {
        const Json *value = &m_document;
        const Json *schema = &compiledSchema().text;
        std::string pointer;
        for (std::size_t step = 1; step < context.size(); ++step) {
            const std::string key = context[step].substr(1, context[step].size() - 2);
            if (!value->is_object() || !value->contains(key) || schema == nullptr)
                break;
            value = &value->at(key);
            schema = memberSchema(*schema, key);
            pointer = childPointer(pointer, key);
        }
        if (schema != nullptr && m_reportedPointers.insert(pointer).second)
            describe(*value, *schema, pointer);
    }

    /// Adds errors for invalid member names; the validator gives no context for these.
    void explainNames(const Json &value, const Json &schema, const std::string &pointer)
    {
        if (!value.is_object())
            return;
        describeNames(value, schema, pointer);
        for (const auto &[key, member] : value.items()) {
            if (const Json *inner = memberSchema(schema, key))
                explainNames(member, *inner, childPointer(pointer, key));
        }
    }

    std::vector<Error> take() { return std::move(m_errors); }

private:
    void describe(const Json &value, const Json &schema, const std::string &pointer)
    {
        const bool isContainer = schema.value("type", "") == "object";
        if (!isContainer || !value.is_object() || hasTooFewMembers(value, schema))
            return add(pointer, "expected " + expectedText(schema) + ", found " + quoted(value));
        describeMissing(value, schema, pointer);
        describeUnknown(value, schema, pointer);
        if (schema.contains("maxProperties") && value.size() > schema["maxProperties"])
            add(pointer,
                "expected at most " + schema["maxProperties"].dump() + " members, found "
                    + std::to_string(value.size()));
    }

    static bool hasTooFewMembers(const Json &value, const Json &schema)
    {
        return schema.contains("minProperties") && value.size() < schema["minProperties"];
    }

    void describeMissing(const Json &value, const Json &schema, const std::string &pointer)
    {
        for (const Json &name : schema.value("required", Json::array())) {
            const std::string key = name.get<std::string>();
            if (value.contains(key))
                continue;
            const Json *member = memberSchema(schema, key);
            add(childPointer(pointer, key), "missing: expected " + expectedText(*member));
        }
    }

    void describeUnknown(const Json &value, const Json &schema, const std::string &pointer)
    {
        if (schema.value("additionalProperties", Json(true)) != Json(false))
            return;
        for (const auto &[key, member] : value.items()) {
            if (!schema["properties"].contains(key))
                add(childPointer(pointer, key), "unknown key: expected one of " + keys(schema));
        }
    }

    void describeNames(const Json &value, const Json &schema, const std::string &pointer)
    {
        if (!schema.contains("propertyNames"))
            return;
        const Json &names = schema["propertyNames"];
        const std::regex pattern(names["pattern"].get<std::string>());
        for (const auto &[key, member] : value.items()) {
            const bool isValid =
                key.size() <= names["maxLength"] && std::regex_search(key, pattern);
            if (!isValid)
                add(childPointer(pointer, key),
                    "expected a name of at most " + names["maxLength"].dump() + " bytes matching "
                        + names["pattern"].get<std::string>());
        }
    }

    static std::string keys(const Json &schema)
    {
        std::string text;
        for (const auto &[key, member] : schema["properties"].items())
            text += (text.empty() ? "" : ", ") + key;
        return text;
    }

    void add(const std::string &pointer, std::string text)
    {
        m_errors.push_back(
            {ErrorCode::SchemaViolation, std::move(text), SourcePlace{"", pointer, 0, 0}});
    }

    const Json &m_document;
    std::set<std::string> m_reportedPointers;
    std::vector<Error> m_errors;
};

/// Whether a message only reports that a nested value is invalid.
bool isConsequence(const std::string &description)
{
    return description.starts_with("Failed to validate against schema associated")
        || description.starts_with("Failed to validate against additional properties");
}

} // namespace

std::vector<Error> checkSchema(const Json &document)
{
    valijson::Validator validator;
    valijson::ValidationResults results;
    const valijson::adapters::NlohmannJsonAdapter adapter(document);
    if (validator.validate(compiledSchema().tree, adapter, &results))
        return {};
    Explainer explainer(document);
    for (const auto &result : results) {
        if (!isConsequence(result.description))
            explainer.explain(result.context);
    }
    explainer.explainNames(document, compiledSchema().text, "");
    std::vector<Error> errors = explainer.take();
    if (errors.empty())
        errors.push_back(
            {ErrorCode::SchemaViolation, "the document does not match the schema", {}});
    return errors;
}

} // namespace yuccaspan::impl
