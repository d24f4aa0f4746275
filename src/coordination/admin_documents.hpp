// JSON bodies of the administration API.
#ifndef AUBURNLB_COORDINATION_ADMIN_DOCUMENTS_HPP
#define AUBURNLB_COORDINATION_ADMIN_DOCUMENTS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "auburnlb/coordination/admin_api.hpp"
#include "auburnlb/coordination/configuration.hpp"

namespace auburnlb::admin
{

/// Builds the response for an error, with the status for its code.
admin_response failure_response(error const& failure);

/// Builds a response with an indented JSON body.
admin_response json_response(int status, nlohmann::ordered_json const& body);

/// Renders the change id, author and comment of a change.
nlohmann::ordered_json describe_note(change_note const& note);
/// Renders the changed fields with their values before and after.
nlohmann::ordered_json
describe_changes(std::vector<field_change> const& changes);
/// Renders the version, note, answers, fields with their origin, and
/// amendments of a service.
nlohmann::ordered_json describe_service(current_service const& current);
/// Renders a service's entry in the list of services.
nlohmann::ordered_json summarise_service(current_service const& current);
/// Renders the current version and those in the history, newest first.
nlohmann::ordered_json describe_history(current_service const& current);

/// Builds the response to a conflict: the newer version, its author, and the
/// fields that differ from the version that the operator expected.
admin_response conflict_response(std::uint64_t expected_version,
                                 current_service const& newer,
                                 std::vector<field_change> const& changes);

/// Parses the body of a PUT, PATCH or rollback request.
result<change_request> parse_change(admin_request const& request);
/// Returns the field "to_version" of a rollback's body.
result<std::uint64_t> parse_rollback_target(std::string const& body);

} // namespace auburnlb::admin

#endif
