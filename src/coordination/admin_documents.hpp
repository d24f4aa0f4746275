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

/// The response to a failure; the status follows from the error's code.
admin_response failure_response(error const& failure);

admin_response json_response(int status, nlohmann::ordered_json const& body);

nlohmann::ordered_json describe_note(change_note const& note);
nlohmann::ordered_json
describe_changes(std::vector<field_change> const& changes);
/// Version, note, answers, fields with their origin, and amendments.
nlohmann::ordered_json describe_service(current_service const& current);
/// One line of the list of services.
nlohmann::ordered_json summarise_service(current_service const& current);
/// All versions that the object names, the newest first.
nlohmann::ordered_json describe_history(current_service const& current);

/// A conflict: the newer version, who made it, and the fields that differ from
/// the version that the operator expected.
admin_response conflict_response(std::uint64_t expected_version,
                                 current_service const& newer,
                                 std::vector<field_change> const& changes);

/// Reads the body of PUT, PATCH or rollback.
result<change_request> parse_change(admin_request const& request);
/// The field "to_version" of a rollback.
result<std::uint64_t> parse_rollback_target(std::string const& body);

} // namespace auburnlb::admin

#endif
