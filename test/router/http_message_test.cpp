// Tests of the HTTP message parser.
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "auburnlb/router/http_message.hpp"

using namespace auburnlb;

namespace
{

/// Records the parts that the reader passes on.
struct recorder final : http_message_sink
{
    void on_head(http_head head) override { heads_.push_back(std::move(head)); }
    void on_body(std::string_view piece) override { body_ += piece; }
    void on_message_end() override { ++ends_; }

    std::vector<http_head> heads_;
    std::string body_;
    int ends_ = 0;
};

constexpr std::size_t max_head = 1'000;

/// Reads all messages and returns the last status.
http_read_status read_all(recorder& sink, http_reader::message_kind kind,
                          std::string_view bytes)
{
    http_reader reader(kind, sink, max_head);
    http_read_status status = http_read_status::need_more;
    while (!bytes.empty())
    {
        http_read_result const read = reader.read(bytes);
        status = read.status_;
        if (status == http_read_status::malformed ||
            status == http_read_status::head_too_large)
        {
            return status;
        }
        bytes.remove_prefix(read.consumed_);
    }
    return status;
}

constexpr auto request = http_reader::message_kind::request;
constexpr auto response = http_reader::message_kind::response;

} // namespace

TEST(http_reader, reads_consecutive_requests)
{
    recorder sink;
    EXPECT_EQ(read_all(sink, request,
                       "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
                       "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "2\r\nde\r\n0\r\n\r\nGET /c HTTP/1.1\r\n\r\n"),
              http_read_status::message_end);
    ASSERT_EQ(sink.heads_.size(), 3U);
    EXPECT_EQ(sink.heads_[1].target_, "/b");
    EXPECT_EQ(sink.body_, "abcde");
    EXPECT_EQ(sink.ends_, 3);
}

TEST(http_reader, conflicting_lengths_and_invalid_fields_are_malformed)
{
    std::string const length_and_chunks =
        "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
        "Transfer-Encoding: chunked\r\n\r\n";
    for (char const* const bytes :
         {length_and_chunks.c_str(),
          "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
          "POST / HTTP/1.1\r\nContent-Length: 3x\r\n\r\n",
          "POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\n",
          "GET / HTTP/1.1\r\nNo colon\r\n\r\n", "nonsense\r\n\r\n"})
    {
        recorder sink;
        EXPECT_EQ(read_all(sink, request, bytes), http_read_status::malformed)
            << bytes;
        EXPECT_EQ(sink.ends_, 0) << bytes;
    }
}

TEST(http_reader, a_head_over_the_limit_is_too_large)
{
    recorder sink;
    EXPECT_EQ(read_all(sink, request,
                       "GET / HTTP/1.1\r\nX: " + std::string(max_head, 'x')),
              http_read_status::head_too_large);
    // The limit also holds if the whole head arrives at once.
    recorder whole;
    EXPECT_EQ(read_all(whole, request,
                       "GET / HTTP/1.1\r\nX: " + std::string(max_head, 'x') +
                           "\r\n\r\n"),
              http_read_status::head_too_large);
    EXPECT_TRUE(whole.heads_.empty());
}

TEST(http_reader, a_response_with_an_invalid_status_is_malformed)
{
    for (std::string const status :
         {"000 OK", "000", "0 OK", "42 Odd", "099 Odd", "600 Odd", "999 Odd"})
    {
        SCOPED_TRACE(status);
        recorder sink;
        EXPECT_EQ(
            read_all(sink, response,
                     "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"),
            http_read_status::malformed);
        EXPECT_TRUE(sink.heads_.empty());
    }
}

TEST(http_reader, a_response_without_length_ends_with_its_connection)
{
    recorder sink;
    http_reader reader(response, sink, max_head);
    reader.read("HTTP/1.1 200 OK\r\n\r\npart");
    EXPECT_FALSE(sink.heads_.front().is_framed_);
    EXPECT_EQ(sink.ends_, 0);
    EXPECT_EQ(reader.read_eof(), http_read_status::message_end);
    EXPECT_EQ(sink.body_, "part");
}

TEST(http_reader, a_truncated_response_is_malformed)
{
    for (char const* const bytes :
         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
          "HTTP/1.1 200 OK\r\nContent-Le"})
    {
        recorder sink;
        http_reader reader(response, sink, max_head);
        reader.read(bytes);
        EXPECT_EQ(reader.read_eof(), http_read_status::malformed) << bytes;
        EXPECT_EQ(sink.ends_, 0) << bytes;
    }
}

RC_GTEST_PROP(http_reader, a_head_that_broke_off_does_not_merge_with_the_next,
              ())
{
    std::string const copy = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                             "X-Request: a\r\nX-Signature: s-a\r\n"
                             "Content-Length: 2\r\nX-Last: 1\r\n";
    std::string const next = "HTTP/1.1 500 Internal Server Error\r\n"
                             "Content-Type: text/plain\r\nX-Request: a\r\n"
                             "X-Signature: s-b\r\nContent-Length: 3\r\n\r\nbad";
    auto const cut = *rc::gen::inRange<std::size_t>(1, copy.size());
    std::string const bytes = copy.substr(0, cut) + next;
    recorder sink;
    http_reader reader(response, sink, max_head);
    std::string_view rest = bytes;
    auto status = http_read_status::need_more;
    while (status == http_read_status::need_more && !rest.empty())
    {
        auto const size = *rc::gen::inRange<std::size_t>(1, 21);
        auto const read = reader.read(rest.substr(0, size));
        status = read.status_;
        rest.remove_prefix(read.consumed_);
    }
    RC_ASSERT(status == http_read_status::malformed);
    RC_ASSERT(sink.heads_.empty());
}

TEST(http_reader, a_request_may_have_a_status_line_in_a_field)
{
    recorder sink;
    EXPECT_EQ(read_all(sink, request,
                       "GET / HTTP/1.1\r\nX-Note: HTTP/1.1 200 OK\r\n\r\n"),
              http_read_status::message_end);
}

TEST(http_reader, responses_to_head_have_no_body)
{
    recorder sink;
    http_reader reader(response, sink, max_head);
    reader.set_expects_no_body(true);
    EXPECT_EQ(
        reader.read("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n").status_,
        http_read_status::message_end);
}

TEST(http_reader, hop_by_hop_fields_are_recognised)
{
    http_head head;
    head.fields_ = {{"Connection", "close, X-Own"}};
    hop_by_hop_fields const fields(head);
    EXPECT_TRUE(fields.contains("x-own"));
    EXPECT_TRUE(fields.contains("TE"));
    EXPECT_FALSE(fields.contains("X-Other"));
}

RC_GTEST_PROP(http_reader, message_is_independent_of_read_sizes, ())
{
    std::string const whole = "POST /long HTTP/1.1\r\nHost: host.example\r\n"
                              "X-Field: some value\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n"
                              "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
    recorder sink;
    http_reader reader(request, sink, max_head);
    std::string_view rest = whole;
    while (!rest.empty())
    {
        auto const size = *rc::gen::inRange<std::size_t>(1, 20);
        auto const read = reader.read(rest.substr(0, size));
        RC_ASSERT(read.status_ == http_read_status::need_more ||
                  read.status_ == http_read_status::message_end);
        rest.remove_prefix(read.consumed_);
    }
    RC_ASSERT(sink.ends_ == 1);
    RC_ASSERT(sink.body_ == "hello world");
    RC_ASSERT(*sink.heads_.front().find("x-field") == "some value");
}
