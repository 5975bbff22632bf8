#include <catch2/catch.hpp>
#include <catkinwell/routing/BufferBudget.h>

using namespace Catkinwell;

TEST_CASE("A buffer budget names the largest answer as long as the sum is too large")
{
    BufferBudget budget(100);
    budget.setBytes(AttemptId(1), 40);
    budget.setBytes(AttemptId(2), 60);
    CHECK_FALSE(budget.excess());
    budget.setBytes(AttemptId(3), 1);
    CHECK(budget.excess() == AttemptId(2));
    budget.setBytes(AttemptId(2), 0);
    CHECK_FALSE(budget.excess());
    CHECK(budget.bytes() == 41);
    budget.setMaximumBytes(40);
    CHECK(budget.excess() == AttemptId(1));
    budget.setBytes(AttemptId(1), 30);
    CHECK(budget.bytes() == 31);
    CHECK_FALSE(budget.excess());
}

// Guards against a count that drifts when answers end without having kept a byte.
TEST_CASE("An answer that keeps nothing does not count")
{
    BufferBudget budget(0);
    budget.setBytes(AttemptId(1), 0);
    CHECK(budget.bytes() == 0);
    CHECK_FALSE(budget.excess());
}
