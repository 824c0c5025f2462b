// Tests what is concluded from transactions that the state service refuses and accepts.
#include "core/outbox/state_limits.h"

#include <gtest/gtest.h>

namespace badgershore {
namespace {

using Conclusion = StateLimits::Conclusion;

constexpr StateServiceLimits kConfigured{100, 15, 8, 8};
constexpr StateServiceLimits kAnnounced{50, 10, 2, 4};

// `records` pages, the largest of `value_bytes`.
TransactionSize Pages(size_t records, size_t value_bytes) {
  return {records, records, value_bytes, "fleet/0"};
}

void Accept(StateLimits* limits, int transactions) {
  for (int i = 0; i < transactions; ++i) limits->OnAccepted();
}

TEST(StateLimits, FirstRefusalLowersThemToTheAnnouncedOnes) {
  StateLimits limits(kConfigured, kAnnounced);
  EXPECT_EQ(limits.value_bytes(), 8192u);
  EXPECT_EQ(limits.announced_value_bytes(), 2048u);
  EXPECT_EQ(limits.OnTooLarge(Pages(1, 6900)), Conclusion::kLimitLowered);
  EXPECT_EQ(limits.value_bytes(), 2048u);
  EXPECT_EQ(limits.mutations(), 4u);
  EXPECT_EQ(limits.changes_per_s(), 10);
  // Lower ones are found all the same.
  EXPECT_EQ(limits.OnTooLarge(Pages(1, 1700)), Conclusion::kLimitLowered);
  EXPECT_LT(limits.value_bytes(), 1700u);
}

// Guards against few mutations for good because of one record that was too large.
TEST(StateLimits, NumberOfMutationsIsRestoredOnceTheRecordAtFaultIsFound) {
  StateLimits limits(kConfigured, std::nullopt);
  EXPECT_EQ(limits.OnTooLarge(Pages(8, 6900)), Conclusion::kLimitLowered);
  EXPECT_EQ(limits.mutations(), 4u);
  EXPECT_EQ(limits.OnTooLarge(Pages(4, 6900)), Conclusion::kLimitLowered);
  limits.OnAccepted();
  EXPECT_FALSE(limits.Learned());  // it is not known yet what was at fault
  EXPECT_EQ(limits.OnTooLarge(Pages(2, 6900)), Conclusion::kLimitLowered);
  EXPECT_EQ(limits.mutations(), 1u);
  EXPECT_EQ(limits.OnTooLarge(Pages(1, 6900)), Conclusion::kLimitLowered);
  EXPECT_EQ(limits.mutations(), 8u);
  EXPECT_LT(limits.value_bytes(), 6900u);
  limits.OnAccepted();
  EXPECT_EQ(limits.Learned(), (LimitsRecord{8192, 8, limits.value_bytes(), 8}));
}

TEST(StateLimits, SmallerNumberOfMutationsIsKeptOnceItIsAccepted) {
  StateLimits limits(kConfigured, std::nullopt);
  limits.OnTooLarge(Pages(8, 900));
  Accept(&limits, 20);
  EXPECT_EQ(limits.Learned(), (LimitsRecord{8192, 8, 8192, 4}));
  limits.OnTooLarge(Pages(1, 6900));
  EXPECT_EQ(limits.mutations(), 4u);
}

// Guards against limits that stay low after the operators have raised them.
TEST(StateLimits, LearnedLimitsHoldForTheSameSettingsOnly) {
  StateLimits limits(kConfigured, std::nullopt);
  limits.Load({8192, 8, 2048, 4});
  EXPECT_EQ(limits.value_bytes(), 2048u);
  EXPECT_EQ(limits.mutations(), 4u);
  StateLimits raised({100, 15, 16, 8}, std::nullopt);
  raised.Load({8192, 8, 2048, 4});
  EXPECT_EQ(raised.value_bytes(), 16384u);
}

TEST(StateLimits, SmallRecordThatIsRefusedAloneCannotBeWritten) {
  StateLimits limits(kConfigured, std::nullopt);
  EXPECT_EQ(limits.OnTooLarge({2, 1, 256, "end/job-1"}), Conclusion::kRecordRefused);
  EXPECT_EQ(limits.value_bytes(), 8192u);
}

// Guards against a transaction with more changes than the service ever accepts at once.
TEST(StateLimits, RefusalsForTheRateLowerRateAndSize) {
  StateLimits limits(kConfigured, std::nullopt);
  limits.OnRateLimited();
  EXPECT_EQ(limits.changes_per_s(), 15);  // others may have used the rate
  EXPECT_EQ(limits.mutations(), 4u);
  for (int i = 0; i < 30; ++i) limits.OnRateLimited();
  EXPECT_EQ(limits.changes_per_s(), 1);
  EXPECT_EQ(limits.mutations(), 1u);
  Accept(&limits, 1000);
  EXPECT_EQ(limits.changes_per_s(), 15);
  EXPECT_EQ(limits.mutations(), 8u);
}

}  // namespace
}  // namespace badgershore
