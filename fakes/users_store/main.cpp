// A stand-in of the users' platform's store: objects with revisions, lists,
// watches, conditional writes, and outages that a test asks for.
//
// A test may post to /fake/mode: "up"; "busy" answers 503; "many" answers 429;
// "silent" answers nothing; "reset" closes the connection; "lose" does the
// write and closes the connection. Calls with "operator=1" in their query are
// served in every mode. A post to /fake/cut closes the connections of waiting
// watches; one to /fake/compact drops the history; one to
// /fake/save takes a copy, and one to /fake/restore goes back to it. A post to
// /fake/raw?kind=KIND&name=NAME makes its body the text of that object in lists
// and events, whatever it is.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "asio_server.hpp"
#include "names.hpp"
#include "program.hpp"

namespace
{

using namespace auburnlb;
using nlohmann::json;

constexpr std::size_t page_size = 50;

/// What a copy of the store holds.
struct store_content
{
    std::uint64_t revision_ = 10;
    /// Revisions before this one are not in the history any more.
    std::uint64_t compacted_ = 0;
    std::map<std::string, std::map<std::string, json>> kinds_;
    /// Changes in their order: kind and event.
    struct change
    {
        std::uint64_t revision_;
        std::string kind_;
        json event_;
    };
    std::deque<change> history_;
};

struct store : store_content
{
    store_content copy_;
    /// Rises when the store goes back to its copy.
    std::uint64_t epoch_ = 1;
    std::string mode_ = "up";
    std::uint64_t calls_ = 0;
    /// How often waiting watches were cut off.
    std::uint64_t cuts_ = 0;
    /// Texts that stand in place of objects; an object names its index.
    std::vector<std::string> raw_texts_;
};

constexpr char raw_field[] = "raw";

std::string raw_mark(std::size_t index)
{
    return "raw-text-" + std::to_string(index) + "-of-the-test";
}

/// What a response shows of an object.
json shown(json const& object)
{
    return object.contains(raw_field)
               ? json(raw_mark(object[raw_field].get<std::size_t>()))
               : object;
}

/// The JSON text with raw texts in place of their marks.
std::string render(store const& state, json const& document)
{
    std::string text = document.dump();
    for (std::size_t index = 0; index < state.raw_texts_.size(); ++index)
    {
        std::string const mark = '"' + raw_mark(index) + '"';
        for (std::size_t at = text.find(mark); at != std::string::npos;
             at = text.find(mark, at + state.raw_texts_[index].size()))
        {
            text.replace(at, mark.size(), state.raw_texts_[index]);
        }
    }
    return text;
}

void restore(store& state)
{
    static_cast<store_content&>(state) = state.copy_;
    ++state.epoch_;
}

void answer(store const& state, caller_connection& caller, unsigned status,
            std::string const& body)
{
    fakes::answer_json(caller, status, body,
                       {{std::string(platform::names::store_epoch),
                         std::to_string(state.epoch_)}});
}

void note_change(store& state, std::string const& kind, json const& object,
                 bool is_deleted)
{
    state.history_.push_back(
        {state.revision_,
         kind,
         {{"object", shown(object)}, {"deleted", is_deleted}}});
}

json put(store& state, std::string const& kind, std::string const& name,
         json const& spec)
{
    json& object = state.kinds_[kind][name];
    bool const is_same = !object.is_null() && object["spec"] == spec;
    if (is_same)
    {
        return object;
    }
    ++state.revision_;
    std::uint64_t const created =
        object.is_null()
            ? state.revision_
            : object["metadata"]["create-revision"].get<std::uint64_t>();
    object = {{"metadata",
               {{"name", name},
                {"revision", state.revision_},
                {"create-revision", created},
                {"finalizers", json::array()},
                {"deleting", false}}},
              {"spec", spec},
              {"status", nullptr}};
    note_change(state, kind, object, false);
    return object;
}

void put_raw(store& state, std::string const& kind, std::string const& name,
             std::string const& text)
{
    json& object = state.kinds_[kind][name];
    ++state.revision_;
    object = {{"metadata",
               {{"name", name},
                {"revision", state.revision_},
                {"create-revision", state.revision_}}},
              {raw_field, state.raw_texts_.size()}};
    state.raw_texts_.push_back(text);
    note_change(state, kind, object, false);
}

json list(store const& state, std::string const& kind, std::string const& after)
{
    json items = json::array();
    bool has_more = false;
    auto const found = state.kinds_.find(kind);
    if (found != state.kinds_.end())
    {
        for (auto const& [name, object] : found->second)
        {
            if (name <= after)
            {
                continue;
            }
            if (items.size() == page_size)
            {
                has_more = true;
                break;
            }
            items.push_back(shown(object));
        }
    }
    return {{"items", items},
            {"has-more", has_more},
            {"store-revision", state.revision_}};
}

json events_after(store const& state, std::string const& kind,
                  std::uint64_t revision)
{
    json events = json::array();
    for (store_content::change const& each : state.history_)
    {
        if (each.revision_ > revision && each.kind_ == kind)
        {
            events.push_back(each.event_);
        }
    }
    return events;
}

/// Answers a watch once there is an event or its time is over.
class waiting_watch : public std::enable_shared_from_this<waiting_watch>,
                      public disconnect_handler
{
public:
    waiting_watch(asio::io_context& io, store& state,
                  std::shared_ptr<caller_connection> caller, std::string kind,
                  std::uint64_t revision, milliseconds wait)
        : state_(state)
        , caller_(std::move(caller))
        , kind_(std::move(kind))
        , revision_(revision)
        , epoch_(state.epoch_)
        , cuts_(state.cuts_)
        , end_(std::chrono::steady_clock::now() + wait)
        , timer_(io)
    {
    }

    void look()
    {
        if (caller_ == nullptr)
        {
            return;
        }
        caller_->set_disconnect_handler(this);
        if (state_.epoch_ != epoch_ || state_.cuts_ != cuts_)
        {
            auto const caller = std::exchange(caller_, nullptr);
            caller->set_disconnect_handler(nullptr);
            caller->abort_response();
            return;
        }
        json const events = events_after(state_, kind_, revision_);
        bool const is_over = std::chrono::steady_clock::now() >= end_;
        if (state_.mode_ == "up" && (!events.empty() || is_over))
        {
            auto const caller = std::exchange(caller_, nullptr);
            caller->set_disconnect_handler(nullptr);
            answer(state_, *caller, 200,
                   render(state_, {{"events", events},
                                   {"store-revision", state_.revision_}}));
            return;
        }
        timer_.expires_after(milliseconds(5));
        timer_.async_wait([self = shared_from_this()](asio::error_code const&)
                          { self->look(); });
    }

    void on_caller_left() override { caller_ = nullptr; }

private:
    store& state_;
    std::shared_ptr<caller_connection> caller_;
    std::string kind_;
    std::uint64_t revision_;
    std::uint64_t epoch_;
    std::uint64_t cuts_;
    std::chrono::steady_clock::time_point end_;
    asio::steady_timer timer_;
};

class store_server
{
public:
    store_server(asio::io_context& io, std::uint16_t port)
        : io_(io)
        , server_(io, port,
                  [this](std::shared_ptr<caller_connection> const& caller,
                         http_head const& head, std::string const& body)
                  { serve(caller, head, body); })
    {
    }

    std::uint16_t port() const { return server_.port(); }

private:
    void serve(std::shared_ptr<caller_connection> const& caller,
               http_head const& head, std::string const& body)
    {
        if (head.target_.starts_with("/fake/"))
        {
            control(*caller, head, body);
            return;
        }
        ++state_.calls_;
        bool const is_write = head.method_ != "GET";
        bool const is_operator =
            !fakes::query_value(head.target_, "operator").empty();
        if (!is_operator && fails(*caller, head, body, is_write))
        {
            return;
        }
        if (is_write)
        {
            auto const [status, object] = write(head, body);
            answer(state_, *caller, status, object.dump());
            return;
        }
        read(caller, head);
    }

    /// Whether the mode keeps the call from being served.
    bool fails(caller_connection& caller, http_head const& head,
               std::string const& body, bool is_write)
    {
        if (state_.mode_ == "silent")
        {
            return true;
        }
        if (state_.mode_ == "reset" || (state_.mode_ == "lose" && is_write))
        {
            if (state_.mode_ == "lose")
            {
                write(head, body);
            }
            caller.abort_response();
            return true;
        }
        if (state_.mode_ == "busy" || state_.mode_ == "many")
        {
            answer(state_, caller, state_.mode_ == "busy" ? 503 : 429, "{}");
            return true;
        }
        return false;
    }

    void control(caller_connection& caller, http_head const& head,
                 std::string const& body)
    {
        if (head.target_ == "/fake/mode")
        {
            state_.mode_ = body;
        }
        if (head.target_.starts_with("/fake/raw?"))
        {
            put_raw(state_, fakes::query_value(head.target_, "kind"),
                    fakes::query_value(head.target_, "name"), body);
        }
        if (head.target_ == "/fake/compact")
        {
            state_.history_.clear();
            state_.compacted_ = state_.revision_;
        }
        if (head.target_ == "/fake/cut")
        {
            ++state_.cuts_;
        }
        if (head.target_ == "/fake/save")
        {
            state_.copy_ = state_;
        }
        if (head.target_ == "/fake/restore")
        {
            restore(state_);
        }
        answer(state_, caller, 200,
               json{{"calls", state_.calls_}, {"revision", state_.revision_}}
                   .dump());
    }

    static std::pair<std::string, std::string> split(std::string const& target)
    {
        std::string path = target.substr(0, target.find('?'));
        path.erase(0, std::string("/objects/").size());
        std::size_t const slash = path.find('/');
        return {path.substr(0, slash),
                slash == std::string::npos ? "" : path.substr(slash + 1)};
    }

    void read(std::shared_ptr<caller_connection> const& caller,
              http_head const& head)
    {
        auto const [kind, name] = split(head.target_);
        std::string const watch = fakes::query_value(head.target_, "watch");
        if (!watch.empty())
        {
            std::uint64_t const revision = std::stoull(watch);
            if (revision < state_.compacted_ || revision > state_.revision_)
            {
                answer(state_, *caller, 410, "{}");
                return;
            }
            milliseconds const wait(
                std::stoul(fakes::query_value(head.target_, "wait-ms")));
            std::make_shared<waiting_watch>(io_, state_, caller, kind, revision,
                                            wait)
                ->look();
            return;
        }
        if (name.empty())
        {
            std::string const after = fakes::query_value(head.target_, "after");
            answer(state_, *caller, 200,
                   render(state_, list(state_, kind, after)));
            return;
        }
        auto const found = state_.kinds_[kind].find(name);
        bool const is_known = found != state_.kinds_[kind].end();
        answer(state_, *caller, is_known ? 200 : 404,
               is_known ? found->second.dump() : "{}");
    }

    std::pair<unsigned, json> write(http_head const& head,
                                    std::string const& body)
    {
        auto [kind, name] = split(head.target_);
        if (head.method_ == "DELETE")
        {
            json const object = state_.kinds_[kind][name];
            ++state_.revision_;
            state_.kinds_[kind].erase(name);
            note_change(state_, kind, object, true);
            return {200, object};
        }
        json const document = json::parse(body);
        if (head.method_ == "POST")
        {
            name = document["metadata"]["name"];
            if (state_.kinds_[kind].contains(name))
            {
                return {409, state_.kinds_[kind][name]};
            }
            return {200, put(state_, kind, name, document["spec"])};
        }
        bool const is_known = state_.kinds_[kind].contains(name);
        bool const is_conditional = document["metadata"].contains("revision");
        if (!is_known && is_conditional)
        {
            return {404, json::object()};
        }
        bool const is_stale =
            is_conditional &&
            document["metadata"]["revision"] !=
                state_.kinds_[kind][name]["metadata"]["revision"];
        if (is_stale)
        {
            return {409, state_.kinds_[kind][name]};
        }
        return {200, put(state_, kind, name, document["spec"])};
    }

    asio::io_context& io_;
    store state_;
    fakes::asio_server server_;
};

} // namespace

int main(int argc, char** argv)
{
    constexpr std::uint64_t max_port = 65'535;
    std::uint16_t const port =
        argc > 1 ? static_cast<std::uint16_t>(
                       fakes::parse_number("PORT", argv[1], max_port))
                 : std::uint16_t{0};
    asio::io_context io;
    store_server const server(io, port);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](asio::error_code const&, int) { io.stop(); });
    fakes::announce("store", server.port());
    io.run();
    return EXIT_SUCCESS;
}
