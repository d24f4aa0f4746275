// The only file that includes valijson, which compiles slowly.
#include "auburnlb/state/json_schema.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "auburnlb/state/json_depth.hpp"

namespace auburnlb
{

namespace
{

constexpr std::size_t max_value_bytes = 80;

// valijson reports a path as "<root>", "[section]", "[key]", "[0]".
std::string render_field_path(std::vector<std::string> const& context)
{
    std::string field;
    for (std::size_t index = 1; index < context.size(); ++index)
    {
        std::string const& part = context[index];
        std::string const name = part.substr(1, part.size() - 2);
        bool const is_index =
            !name.empty() &&
            std::all_of(name.begin(), name.end(),
                        [](char c) { return c >= '0' && c <= '9'; });
        if (is_index)
        {
            field += part;
            continue;
        }
        field += (field.empty() ? "" : ".") + name;
    }
    return field;
}

nlohmann::json const* find_value(nlohmann::json const& document,
                                 std::vector<std::string> const& context)
{
    nlohmann::json const* value = &document;
    for (std::size_t index = 1; index < context.size(); ++index)
    {
        std::string const name =
            context[index].substr(1, context[index].size() - 2);
        if (value->is_array())
        {
            std::size_t const position = std::stoul(name);
            if (position >= value->size())
            {
                return nullptr;
            }
            value = &(*value)[position];
            continue;
        }
        auto const found = value->find(name);
        if (found == value->end())
        {
            return nullptr;
        }
        value = &*found;
    }
    return value;
}

std::string truncate_value(std::string text)
{
    if (text.size() <= max_value_bytes)
    {
        return text;
    }
    text.resize(max_value_bytes);
    return text + "...";
}

result<nlohmann::json> parse_json(std::string const& name,
                                  std::string const& text)
{
    if (is_nested_too_deep(text))
    {
        return error{error_code::invalid_input, "parse JSON", name,
                     "the text is nested too deeply; the maximum is " +
                         std::to_string(max_json_depth) + " levels"};
    }
    try
    {
        return nlohmann::json::parse(text);
    }
    catch (nlohmann::json::parse_error const& failure)
    {
        return error{error_code::invalid_input, "parse JSON", name,
                     failure.what()};
    }
}

} // namespace

result<std::vector<schema_violation>>
check_against_schema(std::string const& schema, std::string const& name,
                     std::string const& document)
{
    auto const parsed = parse_json(name, document);
    if (!parsed)
    {
        return parsed.error();
    }
    auto const schema_document = parse_json("schema", schema);
    if (!schema_document)
    {
        return schema_document.error();
    }
    valijson::Schema compiled;
    valijson::SchemaParser parser;
    parser.populateSchema(
        valijson::adapters::NlohmannJsonAdapter(schema_document.value()),
        compiled);
    valijson::Validator validator(valijson::Validator::kStrongTypes);
    valijson::ValidationResults failures;
    validator.validate(compiled,
                       valijson::adapters::NlohmannJsonAdapter(parsed.value()),
                       &failures);

    std::vector<std::pair<std::size_t, schema_violation>> found;
    for (valijson::ValidationResults::Error failure;
         failures.popError(failure);)
    {
        nlohmann::json const* value =
            find_value(parsed.value(), failure.context);
        found.emplace_back(failure.context.size(),
                           schema_violation{render_field_path(failure.context),
                                            value == nullptr
                                                ? ""
                                                : truncate_value(value->dump()),
                                            failure.description});
    }
    // valijson also reports an error in a field for each enclosing object.
    std::stable_sort(found.begin(), found.end(),
                     [](auto const& left, auto const& right)
                     { return left.first > right.first; });
    std::vector<schema_violation> violations;
    violations.reserve(found.size());
    for (auto& [depth, violation] : found)
    {
        violations.push_back(std::move(violation));
    }
    return violations;
}

} // namespace auburnlb
