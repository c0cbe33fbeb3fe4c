#include "io/request_budget.h"

#include <utility>

namespace primrosecroft
{

namespace
{

constexpr std::size_t smallRequest = std::size_t {16} * 1024; ///< bytes that each request may hold anyway

} // namespace

budget_share::budget_share(std::shared_ptr<request_budget> budget)
    : m_budget(std::move(budget))
{
}

budget_share::~budget_share()
{
    release();
}

budget_share::budget_share(budget_share &&other) noexcept
    : m_taken(std::exchange(other.m_taken, 0))
{
    m_budget = other.m_budget; // which the other one keeps for its next request
}

bool budget_share::tryHold(std::size_t heldBytes)
{
    const auto wanted = heldBytes > smallRequest ? heldBytes : 0;
    if (wanted > m_taken && wanted - m_taken > m_budget->capacity - m_budget->used) {
        return false;
    }
    m_budget->used = m_budget->used - m_taken + wanted;
    m_taken = wanted;
    return true;
}

void budget_share::release()
{
    m_budget->used -= std::exchange(m_taken, 0);
}

} // namespace primrosecroft
