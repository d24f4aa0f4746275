// Tests of log output to blocked, closed and slow targets, and of rate limits.
#include <array>
#include <string>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include "auburnlb/state/log_output.hpp"

using namespace auburnlb;

namespace
{

/// A pipe that closes both ends on destruction.
struct pipe_pair
{
    pipe_pair() { EXPECT_EQ(pipe(ends_.data()), 0); }
    ~pipe_pair()
    {
        for (int const each : ends_)
        {
            close(each);
        }
    }
    std::array<int, 2> ends_{};

    std::string read_some() const
    {
        std::array<char, 65'536> buffer{};
        ssize_t const size = read(ends_[0], buffer.data(), buffer.size());
        return {buffer.data(),
                static_cast<std::size_t>(std::max<ssize_t>(size, 0))};
    }
};

constexpr std::size_t capacity = std::size_t{16} * 1024;

} // namespace

TEST(bounded_line_writer, writes_complete_lines_in_order)
{
    pipe_pair const pipe;
    bounded_line_writer writer(pipe.ends_[1], capacity);
    writer.add("first", false);
    writer.add("second", true);
    writer.drain();
    EXPECT_EQ(pipe.read_some(), "first\nsecond\n");
    EXPECT_EQ(writer.buffered_bytes(), 0U);
}

TEST(bounded_line_writer,
     a_blocked_target_drops_lines_without_blocking_the_caller)
{
    pipe_pair const pipe;
    bounded_line_writer writer(pipe.ends_[1], capacity);
    std::string const line(100, 'x');
    // More than the pipe and the buffer can hold. The calls must not block.
    for (int index = 0; index < 2'000; ++index)
    {
        writer.add(line, false);
        writer.drain();
    }
    EXPECT_LE(writer.buffered_bytes(), capacity);
    EXPECT_GT(writer.take_dropped(), 0U);
    EXPECT_EQ(writer.take_dropped(), 0U);
    std::string const first = pipe.read_some();
    EXPECT_TRUE(first.starts_with(line + "\n"));
    writer.drain();
    EXPECT_FALSE(pipe.read_some().empty());
}

TEST(bounded_line_writer, part_of_the_buffer_is_reserved_for_important_lines)
{
    pipe_pair const pipe;
    bounded_line_writer writer(pipe.ends_[1], 1'000);
    std::string const line(99, 'x');
    while (writer.add(line, false))
    {
    }
    EXPECT_TRUE(writer.add(line, true));
    EXPECT_FALSE(writer.add(line, false));
}

TEST(bounded_line_writer, lines_stay_buffered_when_the_target_is_closed)
{
    int const closed = 1'000'000;
    bounded_line_writer writer(closed, capacity);
    writer.add("line", true);
    writer.drain();
    EXPECT_GT(writer.buffered_bytes(), 0U);
}

TEST(log_rate_limit, dropped_lines_are_reported_once_after_the_window_ends)
{
    log_rate_limit limit;
    limit.lines_per_second_ = 3;
    time_point const start = time_point{} + seconds(10);
    int admitted = 0;
    for (int index = 0; index < 10; ++index)
    {
        admitted += admit_line(limit, 405, start) ? 1 : 0;
    }
    EXPECT_EQ(admitted, 3);
    EXPECT_TRUE(admit_line(limit, 406, start));
    EXPECT_TRUE(take_dropped(limit, start).empty());
    auto const dropped = take_dropped(limit, start + seconds(1));
    EXPECT_EQ(dropped, (std::map<int, std::uint64_t>{{405, 7}}));
    EXPECT_TRUE(take_dropped(limit, start + seconds(1)).empty());
    EXPECT_TRUE(admit_line(limit, 405, start + seconds(1)));
}
