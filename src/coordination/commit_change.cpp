// Commits a change to the platform.
#include <memory>
#include <utility>

#include "auburnlb/coordination/configuration.hpp"

namespace auburnlb
{

namespace
{

constexpr int max_attempts = 4;

bool is_outcome_unknown(error_code code)
{
    return code == error_code::response_lost || code == error_code::timeout;
}

// The commit of one change. Each step starts the next one from its handler, so
// no two steps of a change run at the same time.
class change_commit : public std::enable_shared_from_this<change_commit>
{
public:
    change_commit(object_store& store, prepared_change change,
                  std::function<void(result<commit_outcome>)> handler)
        : store_(store)
        , change_(std::move(change))
        , handler_(std::move(handler))
    {
    }

    void start()
    {
        if (change_.replaced_text_.empty())
        {
            write();
            return;
        }
        // The text of a history object never changes, so the write may be
        // repeated and may find that the object exists already.
        store_.put({history_object_kind,
                    history_name(change_.service_, change_.expected_version_),
                    0, change_.replaced_text_},
                   0,
                   [self = shared_from_this()](result<std::uint64_t> response)
                   { self->on_history_written(std::move(response)); });
    }

private:
    void on_history_written(result<std::uint64_t> response)
    {
        bool const is_stored =
            response || response.error().code_ == error_code::conflict;
        if (is_stored)
        {
            write();
            return;
        }
        if (is_outcome_unknown(response.error().code_) &&
            ++attempts_ < max_attempts)
        {
            start();
            return;
        }
        // The service's object was not written.
        error failure = response.error();
        failure.code_ = error_code::unreachable;
        failure.detail_ += "; nothing was changed";
        handler_(std::move(failure));
    }

    void write()
    {
        store_.put({service_object_kind, change_.service_, 0, change_.text_},
                   change_.expected_version_,
                   [self = shared_from_this()](result<std::uint64_t> response)
                   { self->on_written(std::move(response)); });
    }

    void on_written(result<std::uint64_t> response)
    {
        if (response)
        {
            finish({change_state::accepted, response.value(), {}});
            return;
        }
        error_code const code = response.error().code_;
        may_have_taken_effect_ |= is_outcome_unknown(code);
        if (code == error_code::conflict || may_have_taken_effect_)
        {
            read_back(std::move(response).error());
            return;
        }
        handler_(std::move(response).error());
    }

    void read_back(error cause)
    {
        store_.get(service_object_kind, change_.service_,
                   [self = shared_from_this(),
                    cause = std::move(cause)](result<stored_object> response)
                   { self->on_read_back(cause, std::move(response)); });
    }

    void on_read_back(error const& cause, result<stored_object> response)
    {
        if (!response && response.error().code_ == error_code::not_found)
        {
            response = stored_object{};
        }
        if (!response)
        {
            retry(cause);
            return;
        }
        auto current = read_service(response.value());
        if (!current)
        {
            handler_(current.error());
            return;
        }
        auto const resolution =
            resolve_change(change_.object_.note_.change_id_,
                           change_.expected_version_, current.value());
        if (resolution.state_ == change_state::undecided)
        {
            retry(cause);
            return;
        }
        finish({resolution.state_, resolution.version_,
                std::move(current).value()});
    }

    // Writing again is safe: all writes expect the same version, so at most one
    // takes effect, and all carry the same change id.
    void retry(error const& cause)
    {
        if (++attempts_ < max_attempts)
        {
            write();
            return;
        }
        error failure = cause;
        failure.code_ = error_code::response_lost;
        failure.detail_ += "; it is not known whether change " +
                           change_.object_.note_.change_id_ +
                           " was accepted; submit it again with the same "
                           "change id";
        handler_(std::move(failure));
    }

    void finish(commit_outcome outcome)
    {
        if (outcome.state_ == change_state::accepted)
        {
            remove_dropped_version();
        }
        handler_(std::move(outcome));
    }

    // If this fails, the object remains, but nothing refers to it.
    void remove_dropped_version()
    {
        if (change_.dropped_version_ == 0)
        {
            return;
        }
        std::string const name =
            history_name(change_.service_, change_.dropped_version_);
        store_.get(history_object_kind, name,
                   [self = shared_from_this(),
                    name](result<stored_object> const& response)
                   {
                       if (!response || response.value().version_ == 0)
                       {
                           return;
                       }
                       self->store_.remove(history_object_kind, name,
                                           response.value().version_,
                                           [](result<std::uint64_t> const&) {});
                   });
    }

    object_store& store_;
    prepared_change const change_;
    std::function<void(result<commit_outcome>)> handler_;
    int attempts_ = 0;
    bool may_have_taken_effect_ = false;
};

} // namespace

void commit_change(object_store& store, prepared_change change,
                   std::function<void(result<commit_outcome>)> handler)
{
    std::make_shared<change_commit>(store, std::move(change),
                                    std::move(handler))
        ->start();
}

} // namespace auburnlb
