// Tests the packing of small records into pages.
#include "core/model/paged_records.h"

#include <gtest/gtest.h>

namespace badgershore {
namespace {

constexpr PageLimits kLimits{100, 100};

PagedRecords MakePages(const std::string& prefix) {
  return PagedRecords(prefix, kLimits, [](const std::string&, PagedRecords::Page*) {});
}

TEST(PagedRecords, WritesManyItemsInOneMutation) {
  PagedRecords pages = MakePages("fleet/");
  const Micros t = Seconds(1);
  PagedRecords::Page* first = pages.PutItem("n-1", 40, true, t);
  EXPECT_EQ(pages.PutItem("n-2", 40, true, t), first);
  PagedRecords::Page* second = pages.PutItem("n-3", 40, true, t);  // no room for it in the first
  EXPECT_NE(second, first);
  EXPECT_NE(second->key, first->key);
  EXPECT_EQ(pages.NextToWrite(true, t, {}), first);
  pages.OnSent(first);
  EXPECT_EQ(pages.NextToWrite(true, t, {}), second);
  // A change while the page's write is in flight makes the page dirty again.
  pages.RemoveItem("n-1", t);
  pages.OnWritten(first, 7);
  EXPECT_EQ(pages.NextToWrite(false, t + Seconds(1), Seconds(2)), nullptr);
  EXPECT_EQ(pages.NextToWrite(false, t + Seconds(2), Seconds(2)), first);
  pages.OnSent(second);
  pages.OnWritten(second, 8);
  // The freed space is reused.
  EXPECT_EQ(pages.PutItem("n-4", 40, true, t), first);
}

// A write without a response may have been carried out, or may be later. The page is not written
// again until its version has been read: otherwise the precondition of each later write would fail.
TEST(PagedRecords, RefreshesTheVersionAfterAWriteWithoutResponse) {
  PagedRecords pages = MakePages("prog/");
  PagedRecords::Page* page = pages.PutItem("job-1/0", 40, false, Seconds(1));
  pages.OnSent(page);
  pages.OnFailed(page, true, true, Seconds(2));
  EXPECT_EQ(pages.NextToWrite(true, Seconds(9), {}), nullptr);
  page->version_unknown = false;
  EXPECT_EQ(pages.NextToWrite(true, Seconds(9), {}), page);
}

TEST(PagedRecords, DeletesNoPageThatWasNeverWritten) {
  PagedRecords pages = MakePages("prog/");
  PagedRecords::Page* page = pages.PutItem("job-1/0", 40, false, Seconds(1));
  pages.RemoveItem("job-1/0", Seconds(1));
  EXPECT_EQ(pages.NextToWrite(false, Seconds(9), Seconds(1)), nullptr);
  page->version = 3;
  EXPECT_EQ(pages.NextToWrite(false, Seconds(9), Seconds(1)), page);
}

// Keys of the pages that are written until none is dirty, each transaction in its own brackets.
std::string WriteAll(PagedRecords* pages, size_t pages_per_transaction) {
  std::string log;
  for (uint64_t version = 100;; ++version) {
    std::vector<PagedRecords::Page*> sent;
    while (sent.size() < pages_per_transaction) {
      PagedRecords::Page* page = pages->NextToWrite(false, Seconds(99), {});
      if (!page) break;
      pages->OnSent(page);
      sent.push_back(page);
    }
    if (sent.empty()) return log;
    log += "[";
    for (PagedRecords::Page* page : sent) {
      log += page->key + (page == sent.back() ? "]" : " ");
      pages->OnWritten(page, page->items.empty() ? 0 : version);
    }
  }
}

// A page of five items, with room for two in a page under the limits that hold now.
PagedRecords::Page* AddLargePage(PagedRecords* pages) {
  PagedRecords::Page* page = pages->AddExisting("fleet/0", 7);
  for (const char* item : {"n-1", "n-2", "n-3", "n-4", "n-5"}) {
    pages->AddItem(page, item, 40, Seconds(1));
  }
  return page;
}

// Guards against a page that is written without items that no other page holds yet.
TEST(PagedRecords, DividedPageIsWrittenAfterOrWithThePagesItsItemsMovedTo) {
  PagedRecords at_once = MakePages("fleet/");
  PagedRecords::Page* page = AddLargePage(&at_once);
  at_once.RemoveItem("n-5", Seconds(1));
  EXPECT_EQ(WriteAll(&at_once, 8), "[fleet/1 fleet/0]");
  EXPECT_EQ(page->items, (std::set<std::string>{"n-1", "n-2"}));

  PagedRecords in_turn = MakePages("fleet/");
  page = AddLargePage(&in_turn);
  in_turn.MarkDirty(page, false, Seconds(1));
  EXPECT_EQ(WriteAll(&in_turn, 1), "[fleet/1][fleet/2][fleet/0]");
}

// Guards against a divided page that is written although the pages with its items were not.
TEST(PagedRecords, DividedPageWaitsAgainAfterAFailedWrite) {
  PagedRecords pages = MakePages("fleet/");
  PagedRecords::Page* page = AddLargePage(&pages);
  pages.MarkDirty(page, false, Seconds(1));
  PagedRecords::Page* target = pages.NextToWrite(false, Seconds(9), {});
  ASSERT_NE(target, page);
  pages.OnSent(target);
  pages.OnFailed(target, true, false, Seconds(9));
  PagedRecords::Page* other = pages.NextToWrite(false, Seconds(9), {});
  ASSERT_NE(other, nullptr);
  EXPECT_NE(other, page);
  pages.OnSent(other);
  pages.OnWritten(other, 8);
  EXPECT_EQ(pages.NextToWrite(false, Seconds(9), {}), nullptr);
  target->version_unknown = false;
  EXPECT_EQ(pages.NextToWrite(false, Seconds(9), {}), target);
}

// Guards against a copy that a division left behind and that no later leader would ever remove.
TEST(PagedRecords, ItemsThatStandTwiceAreWrittenOnce) {
  PagedRecords pages = MakePages("fleet/");
  AddLargePage(&pages);
  PagedRecords::Page* copy = pages.AddExisting("fleet/1", 8);
  EXPECT_EQ(pages.AddItem(copy, "n-4", 40, Seconds(1)), copy);
  EXPECT_EQ(pages.AddItem(copy, "n-5", 40, Seconds(1)), copy);
  EXPECT_EQ(WriteAll(&pages, 1), "[fleet/1][fleet/2][fleet/0]");

  // The first page was not too large: it keeps the item, and the second one loses it.
  PagedRecords small = MakePages("fleet/");
  PagedRecords::Page* first = small.AddExisting("fleet/0", 7);
  small.AddItem(first, "n-1", 40, Seconds(1));
  PagedRecords::Page* second = small.AddExisting("fleet/1", 8);
  small.AddItem(second, "n-2", 40, Seconds(1));
  EXPECT_EQ(small.AddItem(second, "n-1", 40, Seconds(1)), first);
  EXPECT_EQ(WriteAll(&small, 1), "[fleet/0][fleet/1]");
  EXPECT_EQ(second->items, std::set<std::string>{"n-2"});
}

// Guards against one item that fits in no page and keeps the others in its page from being written.
TEST(PagedRecords, ItemThatFitsNowhereHoldsUpNoOther) {
  PagedRecords pages = MakePages("prog/");
  PagedRecords::Page* page = pages.AddExisting("prog/0", 7);
  pages.AddItem(page, "job-1/0", 140, Seconds(1));
  pages.AddItem(page, "job-2/0", 40, Seconds(1));
  pages.MarkDirty(page, false, Seconds(1));
  EXPECT_EQ(WriteAll(&pages, 1), "[prog/1]");
  EXPECT_EQ(page->items, std::set<std::string>{"job-1/0"});
  EXPECT_EQ(pages.CountUnwritable(), 1u);
  // Written as soon as it fits again.
  pages.SetLimits({200, 200}, 200);
  EXPECT_EQ(WriteAll(&pages, 1), "[prog/0]");
  EXPECT_EQ(pages.CountUnwritable(), 0u);
}

// Guards against a record that the state service refuses whatever its size, and that keeps its
// page from being written.
TEST(PagedRecords, RefusedPageIsDividedUntilOneItemIsAlone) {
  PagedRecords pages = MakePages("fleet/");
  PagedRecords::Page* page = AddLargePage(&pages);
  pages.RemoveItem("n-5", Seconds(1));
  const auto refused = [](const PagedRecords::Page& sent) { return sent.items.contains("n-2"); };
  int writes = 0;
  while (PagedRecords::Page* next = pages.NextToWrite(false, Seconds(9), {})) {
    ASSERT_LT(++writes, 20);
    pages.OnSent(next);
    if (refused(*next)) {
      pages.OnFailed(next, false, false, Seconds(9));
      pages.OnRefused(next, Seconds(9));
    } else {
      pages.OnWritten(next, 8);
    }
  }
  EXPECT_EQ(pages.CountUnwritable(), 1u);
  EXPECT_FALSE(page->items.contains("n-3") && page->items.contains("n-2"));
}

}  // namespace
}  // namespace badgershore
