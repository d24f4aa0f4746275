// Changes to a service's configuration: preparing a change, committing it to
// the platform, and finding out the state of a change whose response was lost.
#ifndef AUBURNLB_COORDINATION_CONFIGURATION_HPP
#define AUBURNLB_COORDINATION_CONFIGURATION_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "auburnlb/coordination/object_store.hpp"
#include "auburnlb/state/service_object.hpp"

namespace auburnlb
{

/// Kind of the platform objects that hold configurations. An object has the
/// name of its service.
inline constexpr char service_object_kind[] = "services";
/// Kind of the platform objects that hold replaced configurations. Their names
/// are "<service>/<version>".
inline constexpr char history_object_kind[] = "service_history";

/// A configuration as read from the platform. Version zero means that the
/// service does not exist yet.
struct current_service
{
    std::uint64_t version_ = 0;
    service_object object_;
    /// The object's text on the platform.
    std::string text_;

    bool operator==(current_service const&) const = default;
};

/// A change as an operator requests it.
struct change_request
{
    std::uint64_t expected_version_ = 0;
    change_note note_;
    /// New answers to the questionnaire; absent to keep those in force.
    std::optional<questionnaire> answers_;
    /// Amendments by field; one without a value is withdrawn.
    std::map<std::string, std::optional<config_value>> amendments_;

    bool operator==(change_request const&) const = default;
};

/// A change that has passed every check and can be committed.
struct prepared_change
{
    std::string service_;
    std::uint64_t expected_version_ = 0;
    service_object object_;
    std::string text_;
    /// The replaced text, which goes into the history; empty for a new service.
    std::string replaced_text_;
    std::vector<field_change> changes_;
    /// The version that drops out of the history, or zero.
    std::uint64_t dropped_version_ = 0;

    bool operator==(prepared_change const&) const = default;
};

/// Parses an object. Returns version zero for an absent object.
result<current_service> read_service(stored_object const& stored);

/// Checks and builds a change. Returns error_code::conflict if the current
/// version is not the expected one.
result<prepared_change> prepare_change(current_service const& current,
                                       std::string const& service,
                                       change_request const& request);

/// Builds a change that restores the content of an earlier version as a new
/// version. Returns error_code::conflict if the current version is not the
/// expected one.
result<prepared_change> prepare_rollback(current_service const& current,
                                         service_object const& earlier,
                                         std::uint64_t expected_version,
                                         change_note const& note);

/// State of a change, as far as the current object shows it.
enum class change_state
{
    accepted,
    /// The expected version is still current: the write may yet take effect.
    undecided,
    /// Another change has replaced the expected version, so the write can no
    /// longer take effect.
    rejected,
};

struct change_resolution
{
    change_state state_ = change_state::undecided;
    /// Version of the change, if accepted.
    std::uint64_t version_ = 0;

    bool operator==(change_resolution const&) const = default;
};

/// Finds out the state of a change by looking for its id in the object and its
/// history.
change_resolution resolve_change(std::string const& change_id,
                                 std::uint64_t expected_version,
                                 current_service const& current);

/// Outcome of commit_change.
struct commit_outcome
{
    change_state state_ = change_state::undecided;
    std::uint64_t version_ = 0;
    /// The object in force, if rejected.
    current_service current_;

    bool operator==(commit_outcome const&) const = default;
};

/// Commits a change to the platform. Stores the replaced content as history,
/// then writes the object if it still has the expected version. If the outcome
/// of the write is unknown, reads the object back and, while the change is
/// undecided, writes it again, for a limited number of attempts. A change that
/// is still undecided after these gives error_code::response_lost; it may be
/// committed again with the same change id at any time.
void commit_change(object_store& store, prepared_change change,
                   std::function<void(result<commit_outcome>)> handler);

/// Returns the name of the history object of a version.
std::string history_name(std::string const& service, std::uint64_t version);

} // namespace auburnlb

#endif
