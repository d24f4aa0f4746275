// HTTP client on one thread that drives libcurl's multi interface.
#include "auburnlb/transport/http_client.hpp"

#include <algorithm>
#include <atomic>
#include <future>
#include <mutex>
#include <strings.h>
#include <thread>
#include <unordered_map>

#include <curl/curl.h>

#include "auburnlb/coordination/byte_budget.hpp"
#include "auburnlb/protocol/status_line.hpp"
#include "response_end.hpp"

namespace auburnlb
{

namespace
{

constexpr char const* send_step = "send HTTP request";
/// Idle connections kept open for later requests, to all peers together.
constexpr long max_idle_connections = 4'096;
constexpr std::size_t max_pooled_handles = 256;
/// Upper limit of one poll; curl_multi_wakeup() ends it earlier.
constexpr int poll_timeout_ms = 1'000;

/// Limits of what peers may send. A faulty one may send bytes without end; a
/// node's control has 128 MB.
constexpr std::size_t max_head_bytes = std::size_t{64} * 1024;
constexpr std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
/// The same for all bodies that a client receives at one time.
constexpr std::size_t max_all_body_bytes = std::size_t{32} * 1024 * 1024;

/// One request in progress. Owned by the client's thread once it has started.
struct transfer
{
    http_request request_;
    http_client::response_handler handler_;
    http_response response_;
    bool has_status_line_ = false;
    /// Whether the empty line after the header fields has come.
    bool is_head_complete_ = false;
    /// Bytes of the body passed to libcurl. Never decreases.
    std::size_t body_sent_ = 0;
    /// Bytes of all heads, also of interim responses.
    std::size_t head_bytes_ = 0;
    /// The bytes of the response's body.
    budgeted_bytes body_bytes_;
    curl_slist* header_list_ = nullptr;

    transfer() = default;
    transfer(transfer const&) = delete;
    transfer& operator=(transfer const&) = delete;
    ~transfer() { curl_slist_free_all(header_list_); }
};

void initialize_libcurl()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

/// Makes libcurl end the transfer with CURLE_WRITE_ERROR.
constexpr std::size_t failed_write = 0;

std::size_t on_body(char* data, std::size_t size, std::size_t count,
                    void* context)
{
    auto& running = *static_cast<transfer*>(context);
    std::string& body = running.response_.body_;
    std::size_t const bytes = size * count;
    if (body.size() + bytes > max_body_bytes ||
        !running.body_bytes_.try_add(bytes))
    {
        return failed_write;
    }
    body.append(data, bytes);
    return bytes;
}

std::string trim(std::string const& text)
{
    auto const first = text.find_first_not_of(" \t\r\n");
    if (first == std::string::npos)
    {
        return {};
    }
    auto const last = text.find_last_not_of(" \t\r\n");
    return text.substr(first, last - first + 1);
}

/// Returns whether the line shows that a head broke off and another response
/// follows it. libcurl would join them under the status of the first.
bool begins_another_response(transfer const& running, std::string const& line)
{
    if (line.rfind("HTTP/", 0) != 0)
    {
        return contains_status_line(line);
    }
    bool const is_inside_head =
        running.has_status_line_ && !running.is_head_complete_;
    return is_inside_head || !running.response_.body_.empty() ||
           contains_status_line(line.substr(1));
}

std::size_t on_header(char* data, std::size_t size, std::size_t count,
                      void* context)
{
    auto& running = *static_cast<transfer*>(context);
    auto& response = running.response_;
    running.head_bytes_ += size * count;
    if (running.head_bytes_ > max_head_bytes)
    {
        return failed_write;
    }
    std::string const line(data, size * count);
    if (begins_another_response(running, line))
    {
        return failed_write;
    }
    if (line.rfind("HTTP/", 0) == 0)
    {
        running.has_status_line_ = true;
        // A status line starts a new header block, for example after "100".
        response.headers_.clear();
        running.is_head_complete_ = false;
        return size * count;
    }
    // Fields after the body follow the empty line.
    running.is_head_complete_ |= trim(line).empty();
    auto const colon = line.find(':');
    if (colon != std::string::npos)
    {
        response.headers_.emplace_back(trim(line.substr(0, colon)),
                                       trim(line.substr(colon + 1)));
    }
    return size * count;
}

std::size_t on_read(char* buffer, std::size_t size, std::size_t count,
                    void* context)
{
    auto& running = *static_cast<transfer*>(context);
    std::string const& body = running.request_.body_;
    std::size_t const bytes =
        std::min(size * count, body.size() - running.body_sent_);
    std::copy_n(body.data() + running.body_sent_, bytes, buffer);
    running.body_sent_ += bytes;
    return bytes;
}

/// Reports that the body cannot be rewound, so that libcurl fails the request
/// instead of sending it again on another connection.
int on_seek(void* /*context*/, curl_off_t /*offset*/, int /*origin*/)
{
    return CURL_SEEKFUNC_FAIL;
}

bool is_safe_method(std::string const& method)
{
    return method == "GET" || method == "HEAD";
}

void set_headers(CURL* easy, transfer& running)
{
    auto append = [&](std::string const& line)
    {
        running.header_list_ =
            curl_slist_append(running.header_list_, line.c_str());
    };
    append("Expect:");
    if (!running.request_.body_.empty() &&
        find_header(running.request_.headers_, "Content-Type").empty())
    {
        append("Content-Type: application/json");
    }
    for (auto const& [name, value] : running.request_.headers_)
    {
        // libcurl drops a header without a value unless it ends in ";".
        std::string line = name;
        line += value.empty() ? ";" : ": ";
        append(line + value);
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, running.header_list_);
}

/// Sets method and body such that libcurl never retries an unsafe request.
/// libcurl retries a request when a reused connection closes before the first
/// byte of the response, although the peer may have executed it. A body that
/// cannot be rewound prevents that. An unsafe request without a body uses a new
/// connection, on which libcurl does not retry.
void set_body(CURL* easy, transfer& running)
{
    http_request const& request = running.request_;
    if (request.method_ == "HEAD")
    {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        return;
    }
    if (is_safe_method(request.method_) && request.body_.empty())
    {
        curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
        return;
    }
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method_.c_str());
    curl_easy_setopt(easy, CURLOPT_READFUNCTION, &on_read);
    curl_easy_setopt(easy, CURLOPT_READDATA, &running);
    curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, &on_seek);
    curl_easy_setopt(easy, CURLOPT_SEEKDATA, &running);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body_.size()));
    if (request.body_.empty())
    {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    }
}

/// Connections idle for longer than this are not reused. It is shorter than
/// reuse_suspension, so that connections that stopped responding have expired
/// when reuse is allowed again.
constexpr long max_idle_s = 2;
/// How long connections to a peer are not reused after a timeout.
constexpr std::chrono::seconds reuse_suspension{5};

void set_options(CURL* easy, transfer& running)
{
    http_request const& request = running.request_;
    auto const timeout = std::max<long>(1, request.timeout_.count());
    curl_easy_setopt(easy, CURLOPT_URL, request.url_.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, timeout);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, max_idle_s);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &running);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &running);
    if (!request.may_reuse_connection_)
    {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    set_headers(easy, running);
    set_body(easy, running);
}

/// Bytes of the request that were written to a connection.
long bytes_written(CURL* easy)
{
    long bytes = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &bytes);
    return bytes;
}

error_code classify(CURLcode code, long written)
{
    switch (code)
    {
    case CURLE_URL_MALFORMAT:
        return error_code::invalid_input;
    case CURLE_UNSUPPORTED_PROTOCOL:
        // libcurl says the same of a response that is not HTTP/1.
        return written == 0 ? error_code::invalid_input
                            : error_code::response_lost;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
        return written == 0 ? error_code::unreachable
                            : error_code::response_lost;
    case CURLE_OPERATION_TIMEDOUT:
        return written == 0 ? error_code::unreachable : error_code::timeout;
    default:
        return error_code::response_lost;
    }
}

std::string peer_of(std::string const& url)
{
    auto const scheme = url.find("://");
    auto const first = scheme == std::string::npos ? 0 : scheme + 3;
    return url.substr(first, url.find('/', first) - first);
}

error make_error(error_code code, transfer const& running, std::string detail)
{
    return {code, send_step, peer_of(running.request_.url_), std::move(detail)};
}

} // namespace

std::string find_header(http_headers const& headers, std::string const& name)
{
    for (auto const& [key, value] : headers)
    {
        if (strcasecmp(key.c_str(), name.c_str()) == 0)
        {
            return value;
        }
    }
    return {};
}

struct http_client::impl
{
    CURLM* multi_ = nullptr;
    std::mutex mutex_;
    /// Requests that the thread has not started yet; guarded by mutex_.
    std::vector<std::unique_ptr<transfer>> waiting_;
    std::atomic<bool> is_stopping_{false};
    /// The members below are used only by the thread.
    byte_budget bodies_{max_all_body_bytes, 0};
    std::unordered_map<CURL*, std::unique_ptr<transfer>> running_;
    std::vector<CURL*> pool_;
    /// Peers to which a request timed out, with the time until which their
    /// pooled connections are not reused.
    std::unordered_map<std::string, std::chrono::steady_clock::time_point>
        no_reuse_until_;
    std::thread thread_;

    impl();
    ~impl();
    void enqueue(std::unique_ptr<transfer> next);
    std::vector<std::unique_ptr<transfer>> take_waiting();
    void run();
    void start(std::unique_ptr<transfer> next);
    void finish_completed();
    void finish(CURL* easy, CURLcode code);
    bool is_reuse_suspended(std::string const& peer);
    void fail_all();
    CURL* acquire_handle();
    void recycle(CURL* easy);
};

http_client::impl::impl()
{
    initialize_libcurl();
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, max_idle_connections);
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    thread_ = std::thread([this] { run(); });
}

http_client::impl::~impl()
{
    is_stopping_ = true;
    curl_multi_wakeup(multi_);
    thread_.join();
    for (CURL* easy : pool_)
    {
        curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(multi_);
}

void http_client::impl::enqueue(std::unique_ptr<transfer> next)
{
    {
        std::lock_guard const lock(mutex_);
        waiting_.push_back(std::move(next));
    }
    curl_multi_wakeup(multi_);
}

std::vector<std::unique_ptr<transfer>> http_client::impl::take_waiting()
{
    std::lock_guard const lock(mutex_);
    return std::exchange(waiting_, {});
}

void http_client::impl::run()
{
    while (!is_stopping_)
    {
        for (auto& next : take_waiting())
        {
            start(std::move(next));
        }
        int still_running = 0;
        curl_multi_perform(multi_, &still_running);
        finish_completed();
        curl_multi_poll(multi_, nullptr, 0, poll_timeout_ms, nullptr);
    }
    fail_all();
}

CURL* http_client::impl::acquire_handle()
{
    if (pool_.empty())
    {
        return curl_easy_init();
    }
    CURL* easy = pool_.back();
    pool_.pop_back();
    return easy;
}

void http_client::impl::recycle(CURL* easy)
{
    if (pool_.size() >= max_pooled_handles)
    {
        curl_easy_cleanup(easy);
        return;
    }
    curl_easy_reset(easy);
    pool_.push_back(easy);
}

void http_client::impl::start(std::unique_ptr<transfer> next)
{
    CURL* easy = acquire_handle();
    next->body_bytes_.move_to(bodies_);
    set_options(easy, *next);
    if (is_reuse_suspended(peer_of(next->request_.url_)))
    {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    }
    running_.emplace(easy, std::move(next));
    if (curl_multi_add_handle(multi_, easy) != CURLM_OK)
    {
        finish(easy, CURLE_FAILED_INIT);
    }
}

/// Returns whether a request to the peer must use a new connection. After a
/// timeout, a device on the path may have dropped the state of all connections
/// that were open, while new connections work.
bool http_client::impl::is_reuse_suspended(std::string const& peer)
{
    auto const found = no_reuse_until_.find(peer);
    if (found == no_reuse_until_.end())
    {
        return false;
    }
    if (std::chrono::steady_clock::now() < found->second)
    {
        return true;
    }
    no_reuse_until_.erase(found);
    return false;
}

void http_client::impl::finish_completed()
{
    int remaining = 0;
    while (CURLMsg* const message = curl_multi_info_read(multi_, &remaining))
    {
        if (message->msg == CURLMSG_DONE)
        {
            finish(message->easy_handle, message->data.result);
        }
    }
}

void http_client::impl::finish(CURL* easy, CURLcode code)
{
    auto const found = running_.find(easy);
    auto const done = std::move(found->second);
    running_.erase(found);
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    long const written = bytes_written(easy);
    curl_multi_remove_handle(multi_, easy);
    recycle(easy);
    if (code == CURLE_OPERATION_TIMEDOUT)
    {
        no_reuse_until_[peer_of(done->request_.url_)] =
            std::chrono::steady_clock::now() + reuse_suspension;
    }
    if (code != CURLE_OK)
    {
        done->handler_(make_error(classify(code, written), *done,
                                  curl_easy_strerror(code)));
        return;
    }
    if (!is_valid_status(status))
    {
        done->handler_(make_error(error_code::response_lost, *done,
                                  "the response has an invalid status"));
        return;
    }
    done->response_.status_ = static_cast<int>(status);
    if (char const* const reason = incompleteness(
            done->request_, done->response_, done->is_head_complete_))
    {
        done->handler_(make_error(error_code::response_lost, *done, reason));
        return;
    }
    done->handler_(std::move(done->response_));
}

void http_client::impl::fail_all()
{
    auto running = std::exchange(running_, {});
    for (auto& [easy, stopped] : running)
    {
        curl_multi_remove_handle(multi_, easy);
        curl_easy_cleanup(easy);
        stopped->handler_(make_error(error_code::response_lost, *stopped,
                                     "the client was stopped"));
    }
    for (auto& stopped : take_waiting())
    {
        stopped->handler_(make_error(error_code::response_lost, *stopped,
                                     "the client was stopped"));
    }
}

http_client::http_client()
    : impl_(std::make_unique<impl>())
{
}

http_client::~http_client() = default;

void http_client::send(http_request request, response_handler handler)
{
    auto next = std::make_unique<transfer>();
    next->request_ = std::move(request);
    next->handler_ = std::move(handler);
    impl_->enqueue(std::move(next));
}

result<http_response> http_client::send_and_wait(http_request request)
{
    auto promise = std::make_shared<std::promise<result<http_response>>>();
    auto future = promise->get_future();
    send(std::move(request), [promise](result<http_response> response)
         { promise->set_value(std::move(response)); });
    return future.get();
}

} // namespace auburnlb
