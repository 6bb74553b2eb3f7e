// The line of one connection, in steps and without a network.

#include <boost/test/unit_test.hpp>
#include <vector>

#include "LibTraffic/answer_order.h"

using wagtailmount::detail::answer_order;
using wagtailmount::detail::line_limits;
using wagtailmount::detail::line_ticket;

namespace {

line_ticket AddRepeatable(answer_order& order) {
  const line_ticket added = order.Add();
  order.AllowBehind(added);
  return added;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(answer_order_suite)

BOOST_AUTO_TEST_CASE(NothingIsReadBehindARequestThatMayNotBeRepeated) {
  answer_order order;
  BOOST_TEST(!order.MayRead());
  const line_ticket lookup = AddRepeatable(order);
  BOOST_TEST(order.MayRead());
  const line_ticket posting = order.Add();
  BOOST_TEST(!order.MayRead());
  BOOST_TEST(order.RemoveFirst(true) == 0U);
  BOOST_TEST(!order.Has(lookup));
  BOOST_TEST(order.IsFirst(posting));
  BOOST_TEST(!order.MayRead());
  order.RemoveFirst(true);
  BOOST_TEST(order.IsEmpty());
}

BOOST_AUTO_TEST_CASE(AnswersGoOutInTheOrderOfTheRequests) {
  answer_order order;
  const line_ticket first = AddRepeatable(order);
  const line_ticket second = AddRepeatable(order);
  const line_ticket third = AddRepeatable(order);
  order.SetWaiting(third, 10);
  order.SetWaiting(second, 10);
  BOOST_TEST(order.IsFirst(first));
  BOOST_TEST(!order.IsFirst(second));
  BOOST_TEST(order.HasBehind(second));
  order.RemoveFirst(true);
  BOOST_TEST(order.IsFirst(second));
  order.RemoveFirst(true);
  BOOST_TEST(order.IsFirst(third));
  BOOST_TEST(!order.HasBehind(third));
}

BOOST_AUTO_TEST_CASE(AFullLineReadsNothingUntilAnAnswerIsSent) {
  answer_order order{line_limits{.requests = 3, .waiting_bytes = 100}};
  for (int count = 0; count < 3; ++count) {
    BOOST_TEST((order.IsEmpty() || order.MayRead()));
    AddRepeatable(order);
  }
  BOOST_TEST(!order.MayRead());
  order.RemoveFirst(true);
  BOOST_TEST(order.MayRead());
}

BOOST_AUTO_TEST_CASE(AnswersThatWaitCountUntilTheyAreSentOrCancelled) {
  answer_order order{line_limits{.requests = 9, .waiting_bytes = 100}};
  AddRepeatable(order);
  const line_ticket second = AddRepeatable(order);
  const line_ticket third = AddRepeatable(order);
  order.SetWaiting(second, 60);
  BOOST_TEST(order.MayRead());
  order.SetWaiting(third, 40);
  BOOST_TEST(!order.MayRead());
  order.RemoveFirst(true);
  order.SetWaiting(second, 0);
  BOOST_TEST(order.MayRead());
  order.SetWaiting(third, 100);
  BOOST_TEST(!order.MayRead());
  order.RemoveFirst(true);
  order.RemoveFirst(true);
  AddRepeatable(order);
  BOOST_TEST(order.MayRead());
}

BOOST_AUTO_TEST_CASE(AnAnswerThatClosesCancelsAllBehindIt) {
  answer_order order;
  AddRepeatable(order);
  const line_ticket second = AddRepeatable(order);
  const line_ticket third = AddRepeatable(order);
  BOOST_TEST(order.RemoveFirst(false) == 2U);
  BOOST_TEST(order.IsEmpty());
  BOOST_TEST(!order.Has(second));
  BOOST_TEST(!order.Has(third));
  BOOST_TEST(!order.MayRead());
}

BOOST_AUTO_TEST_CASE(ACallerThatLeavesGetsAtMostTheFirstAnswer) {
  answer_order order;
  BOOST_TEST(order.CancelBehindFirst() == 0U);
  answer_order busy;
  const line_ticket first = AddRepeatable(busy);
  const line_ticket second = AddRepeatable(busy);
  busy.SetWaiting(second, 10);
  BOOST_TEST(busy.CancelBehindFirst() == 1U);
  BOOST_TEST(busy.IsFirst(first));
  BOOST_TEST(!busy.Has(second));
  BOOST_TEST(!busy.HasBehind(first));
  BOOST_TEST(!busy.MayRead());
}

BOOST_AUTO_TEST_CASE(NothingIsReadOnceAnAnswerSaysThatTheConnectionCloses) {
  answer_order order;
  const line_ticket only = AddRepeatable(order);
  BOOST_TEST(!order.HasBehind(only));
  order.EndReading();
  BOOST_TEST(!order.MayRead());
  BOOST_TEST(order.Has(only));
}

BOOST_AUTO_TEST_SUITE_END()
