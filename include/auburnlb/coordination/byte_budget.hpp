// Limits the bytes that all requests of a process buffer together.
#ifndef AUBURNLB_COORDINATION_BYTE_BUDGET_HPP
#define AUBURNLB_COORDINATION_BYTE_BUDGET_HPP

#include <cstddef>

namespace auburnlb
{

/// Bytes that are buffered, and how many may be. Not thread-safe.
struct byte_budget
{
    std::size_t limit_ = 0;
    /// At most limit_, except for bytes that were taken without being asked
    /// for.
    std::size_t used_ = 0;

    bool operator==(byte_budget const&) const = default;
};

inline bool is_exceeded(byte_budget const& budget)
{
    return budget.used_ > budget.limit_;
}

/// The bytes that one owner has taken from a budget, which it returns at its
/// end.
class budgeted_bytes
{
public:
    /// Counts nothing until it is given a budget.
    budgeted_bytes() = default;
    explicit budgeted_bytes(byte_budget& budget)
        : budget_(&budget)
    {
    }
    ~budgeted_bytes() { release(); }
    budgeted_bytes(budgeted_bytes const&) = delete;
    budgeted_bytes& operator=(budgeted_bytes const&) = delete;

    /// Takes bytes from the budget; returns false if it has too few left.
    bool try_add(std::size_t bytes)
    {
        if (budget_ != nullptr && budget_->used_ + bytes > budget_->limit_)
        {
            return false;
        }
        set(taken_ + bytes);
        return true;
    }

    /// Has exactly so many bytes, also beyond the limit: they exist already.
    void set(std::size_t bytes)
    {
        if (budget_ != nullptr)
        {
            budget_->used_ = budget_->used_ - taken_ + bytes;
        }
        taken_ = bytes;
    }

    /// Moves the bytes to another budget.
    void move_to(byte_budget& budget)
    {
        std::size_t const bytes = taken_;
        release();
        budget_ = &budget;
        set(bytes);
    }

    /// Returns all bytes to the budget.
    void release() { set(0); }

private:
    byte_budget* budget_ = nullptr;
    std::size_t taken_ = 0;
};

} // namespace auburnlb

#endif
