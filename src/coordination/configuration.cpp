// Checks and builds changes, and resolves those with an unknown outcome.
#include "auburnlb/coordination/configuration.hpp"

#include <utility>

namespace auburnlb
{

namespace
{

error conflict_error(std::uint64_t expected, std::uint64_t current)
{
    return {error_code::conflict, "prepare change", "",
            "expected version " + std::to_string(expected) + ", but version " +
                std::to_string(current) + " is in force"};
}

error fixed_field_error(std::string const& field, std::string const& value,
                        std::string const& allowed)
{
    return {error_code::invalid_input, "prepare change", "",
            "field " + field + " has the value " + value +
                "; allowed is: " + allowed +
                ", because it cannot change while the service exists"};
}

// Returns an error if the kind or the number of claim shards changes. Claims of
// idempotency keys are stored by shard, so both stay as first accepted.
std::optional<error> find_fixed_change(service_object const& before,
                                       service_object const& after)
{
    if (before.answers_.kind_ != after.answers_.kind_)
    {
        bool const is_model = before.answers_.kind_ == service_kind::model;
        return fixed_field_error("kind", is_model ? "plain" : "model",
                                 is_model ? "model" : "plain");
    }
    config_value const& old_shards =
        before.generated_.at("claim_shards").value_;
    config_value const& new_shards = after.generated_.at("claim_shards").value_;
    if (old_shards != new_shards)
    {
        return fixed_field_error("claim_shards", to_string(new_shards),
                                 to_string(old_shards));
    }
    return std::nullopt;
}

void keep_fixed_fields(service_object const& before, service_object& after)
{
    auto const shards = before.generated_.find("claim_shards");
    if (shards != before.generated_.end())
    {
        after.generated_["claim_shards"] = shards->second;
    }
}

std::vector<history_entry> extend_history(current_service const& current)
{
    std::vector<history_entry> history = current.object_.history_;
    history.insert(history.begin(), {current.version_, current.object_.note_});
    if (history.size() > max_history_entries)
    {
        history.resize(max_history_entries);
    }
    return history;
}

result<prepared_change> finish_change(current_service const& current,
                                      service_object object)
{
    prepared_change change;
    change.service_ = object.answers_.service_;
    change.expected_version_ = current.version_;
    bool const is_new = current.version_ == 0;
    if (!is_new)
    {
        if (auto failure = find_fixed_change(current.object_, object))
        {
            return *failure;
        }
        object.history_ = extend_history(current);
        change.replaced_text_ = current.text_;
        if (current.object_.history_.size() == max_history_entries)
        {
            change.dropped_version_ = current.object_.history_.back().version_;
        }
    }
    if (auto failure = check_service_object(object))
    {
        return *failure;
    }
    change.changes_ = compare_fields(effective_fields(current.object_),
                                     effective_fields(object));
    change.text_ = render_service_object(object);
    change.object_ = std::move(object);
    return change;
}

std::optional<error> check_note(change_note const& note)
{
    if (!note.change_id_.empty())
    {
        return std::nullopt;
    }
    return error{error_code::invalid_input, "prepare change", "",
                 "field change_id has the value \"\"; allowed is: a text that "
                 "is unique for each change"};
}

} // namespace

result<current_service> read_service(stored_object const& stored)
{
    current_service current;
    if (stored.version_ == 0)
    {
        return current;
    }
    auto object = parse_service_object(stored.name_, stored.value_);
    if (!object)
    {
        return object.error();
    }
    current.version_ = stored.version_;
    current.object_ = std::move(object).value();
    current.text_ = stored.value_;
    return current;
}

result<prepared_change> prepare_change(current_service const& current,
                                       std::string const& service,
                                       change_request const& request)
{
    if (auto failure = check_note(request.note_))
    {
        return *failure;
    }
    if (current.version_ != request.expected_version_)
    {
        return conflict_error(request.expected_version_, current.version_);
    }
    if (current.version_ == 0 && !request.answers_)
    {
        return error{error_code::not_found, "prepare change", "",
                     "service " + service + " does not exist"};
    }
    service_object object = current.object_;
    object.note_ = request.note_;
    if (request.answers_)
    {
        object.answers_ = *request.answers_;
        object.generated_ = generate_fields(object.answers_);
        keep_fixed_fields(current.object_, object);
    }
    if (object.answers_.service_ != service)
    {
        return error{error_code::invalid_input, "prepare change", "",
                     "field service has the value \"" +
                         object.answers_.service_ + "\"; allowed is: \"" +
                         service + "\""};
    }
    for (auto const& [field, value] : request.amendments_)
    {
        object.amendments_.erase(field);
        if (value)
        {
            object.amendments_.emplace(field, *value);
        }
    }
    return finish_change(current, std::move(object));
}

result<prepared_change> prepare_rollback(current_service const& current,
                                         service_object const& earlier,
                                         std::uint64_t expected_version,
                                         change_note const& note)
{
    if (auto failure = check_note(note))
    {
        return *failure;
    }
    if (current.version_ == 0 || current.version_ != expected_version)
    {
        return conflict_error(expected_version, current.version_);
    }
    service_object object = earlier;
    object.note_ = note;
    return finish_change(current, std::move(object));
}

change_resolution resolve_change(std::string const& change_id,
                                 std::uint64_t expected_version,
                                 current_service const& current)
{
    if (current.version_ != 0 && current.object_.note_.change_id_ == change_id)
    {
        return {change_state::accepted, current.version_};
    }
    for (history_entry const& entry : current.object_.history_)
    {
        if (entry.note_.change_id_ == change_id)
        {
            return {change_state::accepted, entry.version_};
        }
    }
    return {current.version_ == expected_version ? change_state::undecided
                                                 : change_state::rejected,
            0};
}

std::string history_name(std::string const& service, std::uint64_t version)
{
    return service + "/" + std::to_string(version);
}

} // namespace auburnlb
