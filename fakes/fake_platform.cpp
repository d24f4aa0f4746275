// HTTP interface, watches and faults of the fake platform.
#include "fake_platform.hpp"

#include <list>
#include <mutex>
#include <numeric>
#include <stdexcept>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include "fake_http.hpp"
#include "object_store.hpp"
#include "timer_thread.hpp"

namespace auburnlb::fakes
{

namespace
{

using json = nlohmann::json;

constexpr char const* objects_path = "/v1/objects/";
constexpr milliseconds max_watch{60'000};

struct object_path
{
    std::string kind_;
    /// Empty for a list or a watch.
    std::string name_;
};

struct waiting_watch
{
    std::uint64_t id_ = 0;
    std::string kind_;
    std::uint64_t after_ = 0;
    std::shared_ptr<fake_reply> reply_;
};

std::string percent_decode(std::string const& text)
{
    std::string decoded;
    for (std::size_t place = 0; place < text.size(); ++place)
    {
        if (text[place] == '%' && place + 2 < text.size())
        {
            decoded += static_cast<char>(
                std::stoi(text.substr(place + 1, 2), nullptr, 16));
            place += 2;
            continue;
        }
        decoded += text[place];
    }
    return decoded;
}

object_path parse_path(std::string const& path)
{
    std::string const rest = path.substr(std::string(objects_path).size());
    auto const slash = rest.find('/');
    if (slash == std::string::npos)
    {
        return {percent_decode(rest), {}};
    }
    return {percent_decode(rest.substr(0, slash)),
            percent_decode(rest.substr(slash + 1))};
}

/// The value of a query's field; empty when absent.
std::string query_field(std::string const& query, std::string const& name)
{
    std::size_t first = 0;
    while (first < query.size())
    {
        auto const end = std::min(query.find('&', first), query.size());
        std::string const field = query.substr(first, end - first);
        if (field.rfind(name + "=", 0) == 0)
        {
            return percent_decode(field.substr(name.size() + 1));
        }
        first = end + 1;
    }
    return {};
}

precondition parse_precondition(http_headers const& headers)
{
    precondition condition;
    condition.must_be_absent_ = find_header(headers, "If-None-Match") == "*";
    std::string const match = find_header(headers, "If-Match");
    if (match.empty())
    {
        return condition;
    }
    if (match.size() < 3 || match.front() != '"' || match.back() != '"')
    {
        throw std::invalid_argument("If-Match is no quoted version");
    }
    condition.version_ = std::stoull(match.substr(1, match.size() - 2));
    return condition;
}

std::string encode_base64(std::string const& bytes)
{
    std::string encoded(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    int const length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
                        reinterpret_cast<unsigned char const*>(bytes.data()),
                        static_cast<int>(bytes.size()));
    encoded.resize(static_cast<std::size_t>(length));
    return encoded;
}

std::string render_list(std::vector<platform_object> const& objects)
{
    json rendered{{"objects", json::array()}};
    for (auto const& object : objects)
    {
        rendered["objects"].push_back(
            {{"kind", object.kind_},
             {"name", object.name_},
             {"version", object.version_},
             {"value_base64", encode_base64(object.value_)},
             {"deleted", object.is_deleted_}});
    }
    return rendered.dump();
}

std::string error_text(std::string const& text)
{
    return json{{"error", text}}.dump();
}

http_response with_version(http_response response, std::uint64_t version)
{
    response.headers_.emplace_back("ETag",
                                   "\"" + std::to_string(version) + "\"");
    return response;
}

http_response render(write_outcome const& outcome)
{
    if (outcome.status_ != 200)
    {
        return json_response(outcome.status_, error_text("not written"));
    }
    json const body{{"version", outcome.version_}};
    return with_version(json_response(200, body.dump()), outcome.version_);
}

http_response render(std::optional<platform_object> const& object)
{
    if (!object)
    {
        return json_response(404, error_text("no such object"));
    }
    http_response response{
        200, {{"Content-Type", "application/octet-stream"}}, object->value_};
    return with_version(std::move(response), object->version_);
}

json to_json(host_entry const& host)
{
    return {{"name", host.name_},
            {"role", host.role_ == host_role::entry ? "entry" : "endpoint"},
            {"address", host.address_},
            {"data_centre", host.data_centre_},
            {"region", host.region_},
            {"state", host.state_ == host_state::live      ? "live"
                      : host.state_ == host_state::leaving ? "leaving"
                                                           : "dead"}};
}

platform_faults parse_faults(json const& body, platform_faults faults)
{
    faults.is_down_ = body.value("down", faults.is_down_);
    faults.is_failing_ = body.value("failing", faults.is_failing_);
    faults.delay_ = milliseconds(body.value("delay_ms", faults.delay_.count()));
    faults.lose_answers_ = body.value("lose_answers", faults.lose_answers_);
    faults.hold_writes_ =
        milliseconds(body.value("hold_writes_ms", faults.hold_writes_.count()));
    return faults;
}

} // namespace

struct fake_platform::impl
{
    mutable std::mutex mutex_;
    /// The members up to next_watch_ are guarded by mutex_.
    object_store store_;
    json hosts_ = json::array();
    platform_faults faults_;
    platform_calls calls_;
    std::list<waiting_watch> watches_;
    std::uint64_t next_watch_ = 1;
    std::unique_ptr<fake_http_server> server_;
    /// Declared after the server, and so destroyed before it, because its
    /// functions hold replies.
    timer_thread timers_;

    explicit impl(std::uint16_t port);
    ~impl();
    void handle(incoming_request const& request,
                std::shared_ptr<fake_reply> const& reply);
    http_response handle_control(incoming_request const& request);
    void handle_api(incoming_request const& request,
                    std::shared_ptr<fake_reply> const& reply);
    void read(incoming_request const& request,
              std::shared_ptr<fake_reply> const& reply);
    void watch(incoming_request const& request, std::string const& kind,
               std::shared_ptr<fake_reply> const& reply);
    void write(incoming_request const& request,
               std::shared_ptr<fake_reply> const& reply);
    write_outcome apply(incoming_request const& request);
    void notify_watches();
    void end_watch(std::uint64_t id);
    void set_faults(platform_faults const& faults);
    void count(std::string const& method, std::string const& kind);
    void answer(std::shared_ptr<fake_reply> const& reply,
                http_response response);
    std::string render_calls() const;
};

fake_platform::impl::impl(std::uint16_t port)
{
    server_ = fake_http_server::start(
        port, [this](incoming_request const& request,
                     std::shared_ptr<fake_reply> const& reply)
        { handle(request, reply); });
}

fake_platform::impl::~impl()
{
    server_->stop();
    timers_.stop();
    watches_.clear();
}

void fake_platform::impl::handle(incoming_request const& request,
                                 std::shared_ptr<fake_reply> const& reply)
try
{
    if (request.path_.rfind("/fake/", 0) == 0)
    {
        reply->send(handle_control(request));
        return;
    }
    handle_api(request, reply);
}
catch (std::exception const& failure)
{
    // Reached before any answer: parsing precedes every effect.
    reply->send(json_response(400, error_text(failure.what())));
}

http_response
fake_platform::impl::handle_control(incoming_request const& request)
{
    if (request.path_ == "/fake/calls")
    {
        return json_response(200, render_calls());
    }
    json const body = json::parse(request.body_);
    if (request.path_ == "/fake/hosts")
    {
        std::lock_guard const lock(mutex_);
        hosts_ = body.is_array() ? body : body.at("hosts");
        return json_response(200, "{}");
    }
    if (request.path_ == "/fake/faults")
    {
        std::lock_guard const lock(mutex_);
        set_faults(parse_faults(body, faults_));
        return json_response(200, "{}");
    }
    return json_response(404, error_text("unknown path"));
}

void fake_platform::impl::handle_api(incoming_request const& request,
                                     std::shared_ptr<fake_reply> const& reply)
{
    std::lock_guard const lock(mutex_);
    if (faults_.is_down_)
    {
        reply->drop();
        return;
    }
    if (faults_.is_failing_)
    {
        reply->send(json_response(503, error_text("unavailable")));
        return;
    }
    if (request.path_ == "/v1/hosts")
    {
        count("GET", "hosts");
        answer(reply, json_response(200, json{{"hosts", hosts_}}.dump()));
        return;
    }
    if (request.path_.rfind(objects_path, 0) != 0)
    {
        answer(reply, json_response(404, error_text("unknown path")));
        return;
    }
    if (request.method_ == "GET")
    {
        read(request, reply);
        return;
    }
    write(request, reply);
}

void fake_platform::impl::read(incoming_request const& request,
                               std::shared_ptr<fake_reply> const& reply)
{
    object_path const path = parse_path(request.path_);
    if (!path.name_.empty())
    {
        count("GET", path.kind_);
        answer(reply, render(store_.find(path.kind_, path.name_)));
        return;
    }
    if (!query_field(request.query_, "watch").empty())
    {
        watch(request, path.kind_, reply);
        return;
    }
    count("LIST", path.kind_);
    auto const prefix = query_field(request.query_, "prefix");
    answer(reply,
           json_response(200, render_list(store_.list(path.kind_, prefix))));
}

void fake_platform::impl::watch(incoming_request const& request,
                                std::string const& kind,
                                std::shared_ptr<fake_reply> const& reply)
{
    auto const after = std::stoull(query_field(request.query_, "after"));
    milliseconds const wait(std::stoll(query_field(request.query_, "wait_ms")));
    count("WATCH", kind);
    auto const changed = store_.changes(kind, after);
    if (!changed.empty() || wait <= milliseconds(0))
    {
        answer(reply, json_response(200, render_list(changed)));
        return;
    }
    std::uint64_t const id = next_watch_++;
    watches_.push_back({id, kind, after, reply});
    timers_.after(std::min(wait, max_watch), [this, id] { end_watch(id); });
}

void fake_platform::impl::end_watch(std::uint64_t id)
{
    std::lock_guard const lock(mutex_);
    for (auto place = watches_.begin(); place != watches_.end(); ++place)
    {
        if (place->id_ == id)
        {
            answer(place->reply_, json_response(200, render_list({})));
            watches_.erase(place);
            return;
        }
    }
}

void fake_platform::impl::notify_watches()
{
    for (auto place = watches_.begin(); place != watches_.end();)
    {
        auto const changed = store_.changes(place->kind_, place->after_);
        if (changed.empty())
        {
            ++place;
            continue;
        }
        answer(place->reply_, json_response(200, render_list(changed)));
        place = watches_.erase(place);
    }
}

void fake_platform::impl::write(incoming_request const& request,
                                std::shared_ptr<fake_reply> const& reply)
{
    object_path const path = parse_path(request.path_);
    if (path.name_.empty() ||
        (request.method_ != "PUT" && request.method_ != "DELETE"))
    {
        answer(reply, json_response(405, error_text("method not allowed")));
        return;
    }
    parse_precondition(request.headers_);
    count(request.method_, path.kind_);
    bool const is_answer_lost = faults_.lose_answers_ > 0;
    faults_.lose_answers_ -= is_answer_lost ? 1 : 0;
    auto finish = [this, reply, is_answer_lost](write_outcome const& outcome)
    {
        if (is_answer_lost)
        {
            reply->drop();
            return;
        }
        answer(reply, render(outcome));
    };
    if (faults_.hold_writes_ <= milliseconds(0))
    {
        finish(apply(request));
        return;
    }
    timers_.after(faults_.hold_writes_,
                  [this, request, finish]
                  {
                      std::lock_guard const lock(mutex_);
                      finish(apply(request));
                  });
}

write_outcome fake_platform::impl::apply(incoming_request const& request)
{
    object_path const path = parse_path(request.path_);
    precondition const condition = parse_precondition(request.headers_);
    write_outcome const outcome =
        request.method_ == "PUT"
            ? store_.put(path.kind_, path.name_, request.body_, condition)
            : store_.remove(path.kind_, path.name_, condition);
    notify_watches();
    return outcome;
}

void fake_platform::impl::set_faults(platform_faults const& faults)
{
    faults_ = faults;
    if (!faults_.is_down_)
    {
        return;
    }
    for (auto const& watch : watches_)
    {
        watch.reply_->drop();
    }
    watches_.clear();
}

void fake_platform::impl::count(std::string const& method,
                                std::string const& kind)
{
    ++calls_[method + " " + kind];
}

void fake_platform::impl::answer(std::shared_ptr<fake_reply> const& reply,
                                 http_response response)
{
    timers_.after(faults_.delay_, [reply, response = std::move(response)]
                  { reply->send(response); });
}

std::string fake_platform::impl::render_calls() const
{
    std::lock_guard const lock(mutex_);
    auto const total =
        std::accumulate(calls_.begin(), calls_.end(), std::uint64_t{0},
                        [](std::uint64_t sum, auto const& entry)
                        { return sum + entry.second; });
    return json{{"calls", calls_},
                {"total", total},
                {"waiting_watches", watches_.size()}}
        .dump();
}

fake_platform::fake_platform(std::uint16_t port)
    : impl_(std::make_unique<impl>(port))
{
}

fake_platform::~fake_platform() = default;

std::uint16_t fake_platform::port() const
{
    return impl_->server_->port();
}

std::string fake_platform::base_url() const
{
    return loopback_url(port());
}

void fake_platform::set_hosts(std::vector<host_entry> const& hosts)
{
    json rendered = json::array();
    for (auto const& host : hosts)
    {
        rendered.push_back(to_json(host));
    }
    std::lock_guard const lock(impl_->mutex_);
    impl_->hosts_ = std::move(rendered);
}

void fake_platform::set_faults(platform_faults const& faults)
{
    std::lock_guard const lock(impl_->mutex_);
    impl_->set_faults(faults);
}

platform_calls fake_platform::calls() const
{
    std::lock_guard const lock(impl_->mutex_);
    return impl_->calls_;
}

std::size_t fake_platform::waiting_watches() const
{
    std::lock_guard const lock(impl_->mutex_);
    return impl_->watches_.size();
}

std::optional<platform_object>
fake_platform::find(std::string const& kind, std::string const& name) const
{
    std::lock_guard const lock(impl_->mutex_);
    return impl_->store_.find(kind, name);
}

} // namespace auburnlb::fakes
