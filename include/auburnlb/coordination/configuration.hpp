// Changing a service's configuration: preparing a change, having it accepted
// by the platform, and settling a change whose answer was lost.
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

/// Kind of the platform's objects that hold configurations, named after the
/// service.
inline constexpr char service_object_kind[] = "services";
/// Kind of the objects that keep replaced contents, named
/// "<service>/<version>".
inline constexpr char history_object_kind[] = "service_history";

/// An object as read from the platform. Version zero: there is none yet.
struct current_service
{
    std::uint64_t version_ = 0;
    service_object object_;
    /// The text that the platform holds.
    std::string text_;

    bool operator==(current_service const&) const = default;
};

/// What an operator wants changed.
struct change_request
{
    std::uint64_t expected_version_ = 0;
    change_note note_;
    /// New answers; absent to keep those in force.
    std::optional<questionnaire> answers_;
    /// Amendments to set, or to withdraw where the value is absent.
    std::map<std::string, std::optional<config_value>> amendments_;

    bool operator==(change_request const&) const = default;
};

/// A change that passed every check and can be offered to the platform.
struct prepared_change
{
    std::string service_;
    std::uint64_t expected_version_ = 0;
    service_object object_;
    std::string text_;
    /// The text being replaced, kept as history; empty for a new service.
    std::string replaced_text_;
    std::vector<field_change> changes_;
    /// A version that is too old to be named in the new history, or zero.
    std::uint64_t dropped_version_ = 0;

    bool operator==(prepared_change const&) const = default;
};

/// Reads an object. An absent one gives version zero.
result<current_service> read_service(stored_object const& stored);

/// Checks and builds a change. Gives error_code::conflict if the current
/// version is not the expected one.
result<prepared_change> prepare_change(current_service const& current,
                                       std::string const& service,
                                       change_request const& request);

/// Brings the content of an earlier version back, as a new version.
result<prepared_change> prepare_rollback(current_service const& current,
                                         service_object const& earlier,
                                         std::uint64_t expected_version,
                                         change_note const& note);

/// What a read after an uncertain write says about it.
enum class settlement
{
    accepted,
    /// The expected version still stands: the write may yet take effect.
    undecided,
    /// Another change took the place; the write can never take effect.
    rejected,
};

struct settled_change
{
    settlement state_ = settlement::undecided;
    /// Version that the change got, if accepted.
    std::uint64_t version_ = 0;

    bool operator==(settled_change const&) const = default;
};

/// Looks for the change id in the object and its history.
settled_change settle_change(std::string const& change_id,
                             std::uint64_t expected_version,
                             current_service const& current);

/// What became of a prepared change.
struct accept_outcome
{
    settlement state_ = settlement::undecided;
    std::uint64_t version_ = 0;
    /// The object that won, if rejected.
    current_service winner_;

    bool operator==(accept_outcome const&) const = default;
};

/// Offers a change to the platform. First the replaced content is kept, then
/// the object is written under its condition. An uncertain write is read back
/// and, while undecided, written again, up to a few attempts; what is then
/// still undecided is an error with error_code::response_lost, and the same
/// change id may be offered again at any time.
void accept_change(object_store& store, prepared_change change,
                   std::function<void(result<accept_outcome>)> handler);

/// Name of the history object of one version.
std::string history_name(std::string const& service, std::uint64_t version);

} // namespace auburnlb

#endif
