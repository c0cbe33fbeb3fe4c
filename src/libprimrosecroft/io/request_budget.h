#pragma once

#include <cstddef>
#include <memory>

/// Bounds the memory that the requests of one server hold together.
namespace primrosecroft
{

/// Memory for large requests. A small one needs none of it, so that callers of small ones are served beside large ones.
struct request_budget
{
    std::size_t capacity = 0; ///< bytes
    std::size_t used = 0; ///< bytes
};

/// What one request holds of a budget. The destructor gives it back.
class budget_share
{
public:
    explicit budget_share(std::shared_ptr<request_budget> budget);
    ~budget_share();
    budget_share(budget_share &&other) noexcept;
    budget_share(const budget_share &) = delete;
    budget_share &operator=(const budget_share &) = delete;
    budget_share &operator=(budget_share &&) = delete;

    /// Takes from the budget what a request of @p heldBytes needs. Returns false, and changes nothing, if the budget
    /// hasn't that much left.
    bool tryHold(std::size_t heldBytes);

    /// Gives everything back.
    void release();

private:
    std::shared_ptr<request_budget> m_budget;
    std::size_t m_taken = 0; ///< bytes
};

} // namespace primrosecroft
