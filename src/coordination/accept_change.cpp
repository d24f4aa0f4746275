// The calls by which the platform accepts a change.
#include <memory>
#include <utility>

#include "auburnlb/coordination/configuration.hpp"

namespace auburnlb
{

namespace
{

constexpr int max_attempts = 4;

bool is_uncertain(error_code code)
{
    return code == error_code::response_lost || code == error_code::timeout;
}

// One change on its way. Each step starts the next from its handler, so that
// no two steps of one change run at a time.
class acceptance : public std::enable_shared_from_this<acceptance>
{
public:
    acceptance(object_store& store, prepared_change change,
               std::function<void(result<accept_outcome>)> handler)
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
        // The kept text never changes, so its write may be repeated and may
        // find the object there already.
        store_.put({history_object_kind,
                    history_name(change_.service_, change_.expected_version_),
                    0, change_.replaced_text_},
                   0,
                   [self = shared_from_this()](result<std::uint64_t> answer)
                   { self->on_history_kept(std::move(answer)); });
    }

private:
    void on_history_kept(result<std::uint64_t> answer)
    {
        bool const is_kept =
            answer || answer.error().code_ == error_code::conflict;
        if (is_kept)
        {
            write();
            return;
        }
        if (is_uncertain(answer.error().code_) && ++attempts_ < max_attempts)
        {
            start();
            return;
        }
        // The object itself was not touched.
        error failure = answer.error();
        failure.code_ = error_code::unreachable;
        failure.detail_ += "; nothing was changed";
        handler_(std::move(failure));
    }

    void write()
    {
        store_.put({service_object_kind, change_.service_, 0, change_.text_},
                   change_.expected_version_,
                   [self = shared_from_this()](result<std::uint64_t> answer)
                   { self->on_written(std::move(answer)); });
    }

    void on_written(result<std::uint64_t> answer)
    {
        if (answer)
        {
            finish({settlement::accepted, answer.value(), {}});
            return;
        }
        error_code const code = answer.error().code_;
        may_have_happened_ |= is_uncertain(code);
        if (code == error_code::conflict || may_have_happened_)
        {
            read_back(std::move(answer).error());
            return;
        }
        handler_(std::move(answer).error());
    }

    void read_back(error cause)
    {
        store_.get(service_object_kind, change_.service_,
                   [self = shared_from_this(),
                    cause = std::move(cause)](result<stored_object> answer)
                   { self->on_read_back(cause, std::move(answer)); });
    }

    void on_read_back(error const& cause, result<stored_object> answer)
    {
        if (!answer && answer.error().code_ == error_code::not_found)
        {
            answer = stored_object{};
        }
        if (!answer)
        {
            try_again(cause);
            return;
        }
        auto current = read_service(answer.value());
        if (!current)
        {
            handler_(current.error());
            return;
        }
        auto const settled =
            settle_change(change_.object_.note_.change_id_,
                          change_.expected_version_, current.value());
        if (settled.state_ == settlement::undecided)
        {
            try_again(cause);
            return;
        }
        finish({settled.state_, settled.version_, std::move(current).value()});
    }

    // Writing again is safe: the condition lets at most one of the writes
    // take effect, and all carry the same change id.
    void try_again(error const& cause)
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
                           " was accepted; offer it again with the same "
                           "change id";
        handler_(std::move(failure));
    }

    void finish(accept_outcome outcome)
    {
        if (outcome.state_ == settlement::accepted)
        {
            drop_oldest_history();
        }
        handler_(std::move(outcome));
    }

    // What stays behind when this fails is found by nobody and harmless.
    void drop_oldest_history()
    {
        if (change_.dropped_version_ == 0)
        {
            return;
        }
        std::string const name =
            history_name(change_.service_, change_.dropped_version_);
        store_.get(history_object_kind, name,
                   [self = shared_from_this(),
                    name](result<stored_object> const& answer)
                   {
                       if (!answer || answer.value().version_ == 0)
                       {
                           return;
                       }
                       self->store_.remove(history_object_kind, name,
                                           answer.value().version_,
                                           [](result<std::uint64_t> const&) {});
                   });
    }

    object_store& store_;
    prepared_change const change_;
    std::function<void(result<accept_outcome>)> handler_;
    int attempts_ = 0;
    bool may_have_happened_ = false;
};

} // namespace

void accept_change(object_store& store, prepared_change change,
                   std::function<void(result<accept_outcome>)> handler)
{
    std::make_shared<acceptance>(store, std::move(change), std::move(handler))
        ->start();
}

} // namespace auburnlb
