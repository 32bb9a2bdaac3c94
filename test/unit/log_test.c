/* Tests the batches, fields and line budget of the log, and histograms. */
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "cmd/log_lines.h"
#include "unit.h"
#include "util/histogram.h"
#include "util/log.h"
#include "util/log_budget.h"

enum { BATCH_BYTES = 8192, LINES = 20000 };

static void restore_log(void)
{
	struct log_options opt = {.fd = 2, .level = LOG_ERROR};

	log_init(&opt);
}

/*
 * If the reader of the log stops reading, lines are dropped and the program is
 * not blocked.
 */
static void log_never_blocks_and_counts_dropped_lines(void)
{
	struct log_options opt = {
		.level = LOG_INFO, .instance = "i", .batch_max = BATCH_BYTES};
	uint64_t before = log_dropped();
	int fds[2], i;

	CU_ASSERT_EQUAL(pipe(fds), 0);
	opt.fd = fds[1];
	log_init(&opt);
	for (i = 0; i < LINES; i++) {
		log_info("line", LOG_I("i", i));
		log_flush();
	}
	CU_ASSERT(log_dropped() > before);
	CU_ASSERT(log_dropped() < before + LINES);
	restore_log();
	close(fds[0]);
	close(fds[1]);
}

static void batched_lines_are_written_whole_and_in_order(void)
{
	struct log_options opt = {
		.level = LOG_INFO, .instance = "i", .batch_max = BATCH_BYTES};
	char text[1024] = "";
	int fds[2];

	CU_ASSERT_EQUAL(pipe(fds), 0);
	opt.fd = fds[1];
	log_init(&opt);
	log_info("first", LOG_S("job", "a"));
	log_info("second", LOG_S("job", "b"));
	log_flush();
	CU_ASSERT(read(fds[0], text, sizeof(text) - 1) > 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "first"));
	CU_ASSERT(strstr(text, "first") < strstr(text, "second"));
	CU_ASSERT_EQUAL(text[strlen(text) - 1], '\n');
	restore_log();
	close(fds[0]);
	close(fds[1]);
}

static void fields_are_found_in_both_formats(void)
{
	static const char plain[] =
		"time=\"2026-01-01T00:00:00.000Z\" event=\"job_ended\" "
		"job=\"ab\" took_ms=12\n";
	static const char json[] = "{\"time\":\"t\",\"event\":\"e\","
				   "\"job\":\"ab\",\"took_ms\":12}\n";
	char val[64];

	CU_ASSERT(log_line_field(plain, "job", val, sizeof(val)));
	CU_ASSERT_STRING_EQUAL(val, "ab");
	CU_ASSERT(log_line_field(plain, "took_ms", val, sizeof(val)));
	CU_ASSERT_STRING_EQUAL(val, "12");
	CU_ASSERT(log_line_field(json, "job", val, sizeof(val)));
	CU_ASSERT_STRING_EQUAL(val, "ab");
	CU_ASSERT(log_line_field(json, "took_ms", val, sizeof(val)));
	CU_ASSERT_STRING_EQUAL(val, "12");
	CU_ASSERT_FALSE(log_line_field(plain, "ob", val, sizeof(val)));
	CU_ASSERT_FALSE(log_line_field(plain, "epoch", val, sizeof(val)));
}

static void histogram_counts_up_to_each_limit(void)
{
	struct histogram h = {{0}, 0};
	auto_buf struct buf out = {0};

	histogram_add(&h, 1);
	histogram_add(&h, 4);
	histogram_add(&h, 9000);
	histogram_render(&h, "x_seconds", "Help.", "a=\"b\"", &out);
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "# TYPE x_seconds histogram"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(out.data, "x_seconds_bucket{a=\"b\",le=\"0.001\"} 1\n"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(out.data, "x_seconds_bucket{a=\"b\",le=\"0.005\"} 2\n"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(out.data, "x_seconds_bucket{a=\"b\",le=\"+Inf\"} 3\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "x_seconds_count{a=\"b\"} 3"));
}

enum { BUDGET = 100, JOBS = 100, LINES_OF_A_JOB = 4 };

/*
 * Offers the lines of one second. Stores the number of kept lines of each job
 * in `kept` and returns their sum.
 */
static uint32_t offer_one_second(struct log_budget *b, int64_t now,
				 uint32_t kept[JOBS])
{
	uint32_t i, k, n = 0;
	char job[8];

	log_budget_advance(b, now);
	for (i = 0; i < JOBS; i++)
		kept[i] = 0;
	for (k = 0; k < LINES_OF_A_JOB; k++) {
		for (i = 0; i < JOBS; i++) {
			snprintf(job, sizeof(job), "j%u", i);
			kept[i] += log_budget_admit(b, job);
		}
	}
	for (i = 0; i < JOBS; i++)
		n += kept[i];
	return n;
}

static void loaded_log_leaves_out_whole_jobs_to_stay_in_budget(void)
{
	uint32_t kept[JOBS], i, n;
	struct log_budget b;

	log_budget_init(&b, BUDGET);
	/* The first second follows no other, so only BURST_FACTOR limits it. */
	CU_ASSERT_EQUAL(offer_one_second(&b, 1000, kept), 2 * BUDGET);
	n = offer_one_second(&b, 2000, kept);
	CU_ASSERT(n > BUDGET / 2);
	CU_ASSERT(n < 2 * BUDGET);
	for (i = 0; i < JOBS; i++)
		CU_ASSERT(!kept[i] || kept[i] == LINES_OF_A_JOB);
	CU_ASSERT_EQUAL(b.left_out, 2 * JOBS * LINES_OF_A_JOB - 2 * BUDGET - n);
}

static void log_keeps_all_jobs_again_after_the_load(void)
{
	uint32_t kept[JOBS];
	struct log_budget b;

	log_budget_init(&b, BUDGET);
	offer_one_second(&b, 1000, kept);
	CU_ASSERT(log_budget_advance(&b, 2000));
	CU_ASSERT(b.kept_share < LOG_BUDGET_ALL);
	CU_ASSERT(log_budget_admit(&b, NULL));
	CU_ASSERT(log_budget_advance(&b, 3000));
	CU_ASSERT_EQUAL(b.kept_share, LOG_BUDGET_ALL);
}

static void lines_about_no_job_are_never_left_out(void)
{
	uint32_t kept[JOBS];
	struct log_budget b;
	int i;

	log_budget_init(&b, BUDGET);
	offer_one_second(&b, 1000, kept);
	for (i = 0; i < 3 * BUDGET; i++)
		CU_ASSERT(log_budget_admit(&b, NULL));
}

/*
 * Warnings about jobs are kept, and a line reports that others were left out.
 */
static void log_reports_that_lines_were_left_out(void)
{
	struct log_options opt = {.level = LOG_INFO,
				  .instance = "i",
				  .batch_max = 1 << 20,
				  .lines_per_s = 2};
	char text[4096] = "";
	uint64_t before;
	int fds[2], i;

	CU_ASSERT_EQUAL(pipe(fds), 0);
	opt.fd = fds[1];
	log_init(&opt);
	before = log_left_out();
	log_clock_set(10000);
	for (i = 0; i < 8; i++)
		log_info("job_taken", LOG_S("job", "a"));
	CU_ASSERT_EQUAL(log_left_out() - before, 4);
	log_clock_set(11000);
	log_warn("stalled", LOG_S("job", "a"));
	log_flush();
	CU_ASSERT(read(fds[0], text, sizeof(text) - 1) > 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "log_thinned"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "kept_percent=25"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "stalled"));
	log_clock_set(0);
	restore_log();
	close(fds[0]);
	close(fds[1]);
}

SUITE(logging)
{
	TEST(log_never_blocks_and_counts_dropped_lines);
	TEST(batched_lines_are_written_whole_and_in_order);
	TEST(fields_are_found_in_both_formats);
	TEST(histogram_counts_up_to_each_limit);
	TEST(loaded_log_leaves_out_whole_jobs_to_stay_in_budget);
	TEST(log_keeps_all_jobs_again_after_the_load);
	TEST(lines_about_no_job_are_never_left_out);
	TEST(log_reports_that_lines_were_left_out);
}
