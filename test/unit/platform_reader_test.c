/*
 * Tests the readers of the platform's texts with valid, invalid and damaged
 * ones: entries of workers, configurations, jobs and lists of runs.
 */
#include <stdio.h>
#include <string.h>

#include "platform/config.h"
#include "platform/job.h"
#include "platform/worker_call.h"
#include "platform/worker_entry.h"
#include "unit.h"
#include "util/alloc.h"
#include "util/log.h"
#include "util/rng.h"

enum {
	DAMAGED_TEXTS = 3000,
	ODD_TEXTS = 1000,
	TEXT_MAX = 2048,
	LONG_TEXT = 200000
};

static const char worker_text[] =
	"{\"service\":\"s1\",\"address\":\"10.128.0.9:8080\",\"zone\":\"z1\","
	"\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
	"\"coldRemainingMs\":0,\"capacity\":{\"cpu\":16000,\"memMb\":32768,"
	"\"gpu\":1},\"labels\":[\"a\",\"r1-3\"],\"clockMs\":482113,"
	"\"sequence\":4}";

static const char config_text[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"h.example\","
	"\"prefix\":\"/p1/\",\"kind\":\"unsafe\",\"timeoutMs\":1500,"
	"\"targetLatencyMs\":60,\"priority\":1,\"service\":\"s1\","
	"\"maxAttempts\":4,\"slackFactor\":1.6},{\"name\":\"r-2\","
	"\"host\":\"h.example\",\"prefix\":\"/p1/deeper/\","
	"\"service\":\"s1\"}],\"services\":[],\"limits\":{}}";

static const char job_text[] =
	"{\"taskSpec\":\"text\",\"bestEffort\":true,\"steps\":[{\"count\":4,"
	"\"cpu\":500,\"memMb\":256,\"estimatedMs\":900}]}";

static const char lists_text[] =
	"{\"clockMs\":482113,\"running\":[[\"5c0e7a21d94b36f8.0.1.17\",2,"
	"\"00000bb87a21d94b\",41]],\"finished\":[[58,"
	"\"5c0e7a21d94b36f8.0.0.9\",1,\"done\",\"\"]]}";

static struct syc_bytes bytes_of(const char *text)
{
	return (struct syc_bytes){text, strlen(text)};
}

static bool read_worker(const char *text, struct drive_worker *w)
{
	return platform_worker_read("i-1", bytes_of(text), w);
}

static void worker_entry_is_read(void)
{
	struct drive_worker w;

	CU_ASSERT(read_worker(worker_text, &w));
	CU_ASSERT_STRING_EQUAL(w.name, "i-1");
	CU_ASSERT_STRING_EQUAL(w.service, "s1");
	CU_ASSERT_STRING_EQUAL(w.domain, "z1");
	CU_ASSERT_STRING_EQUAL(w.addr.ip, "10.128.0.9");
	CU_ASSERT_EQUAL(w.addr.port, 8080);
	CU_ASSERT_EQUAL(w.cpu_milli, 16000);
	CU_ASSERT_EQUAL(w.memory_mb, 32768);
	CU_ASSERT_EQUAL(w.accelerators, 1);
	CU_ASSERT_EQUAL(w.slots, 8);
	CU_ASSERT_FALSE(w.leaving);
	CU_ASSERT_STRING_EQUAL(w.kind, "a");
	CU_ASSERT_EQUAL(w.n_labels, 2);
}

static void invalid_worker_entry_is_rejected(void)
{
	static const char *const invalid_entries[] = {
		"",
		"[]",
		"{",
		"null",
		"{}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"state\":\"resting\",\"capacity\":{\"cpu\":1,\"memMb\":1}}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"state\":\"ready\",\"capacity\":{\"cpu\":\"1\",\"memMb\":1}}",
		"{\"service\":\"s\",\"address\":\"here\",\"zone\":\"z\","
		"\"state\":\"ready\",\"capacity\":{\"cpu\":1,\"memMb\":1}}",
		"{\"service\":7,\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"state\":\"ready\",\"capacity\":{\"cpu\":1,\"memMb\":1}}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"state\":\"ready\",\"capacity\":{\"cpu\":1,\"memMb\":1}}",
	};
	struct drive_worker w;
	size_t i;

	for (i = 0; i < sizeof(invalid_entries) / sizeof(*invalid_entries); i++)
		CU_ASSERT_FALSE(read_worker(invalid_entries[i], &w));
	CU_ASSERT_FALSE(platform_worker_read("", bytes_of(worker_text), &w));
}

/* Reads a valid entry to which a field was added. */
static bool read_with_field(const char *field, struct drive_worker *w)
{
	char text[TEXT_MAX];

	snprintf(text, sizeof(text),
		 "{%s,\"service\":\"s\",\"address\":\"10.0.0.1:80\","
		 "\"zone\":\"z\",\"state\":\"ready\",\"labels\":[\"a\"],"
		 "\"capacity\":{\"cpu\":1,\"memMb\":1}}",
		 field);
	return read_worker(text, w);
}

static void life_of_a_worker_is_read(void)
{
	struct drive_worker w;

	CU_ASSERT(read_worker(worker_text, &w));
	CU_ASSERT_EQUAL(w.born_ms, 0);
	CU_ASSERT(read_with_field("\"born\":1701705600123", &w));
	CU_ASSERT_EQUAL(w.born_ms, 1701705600123);
	CU_ASSERT_EQUAL(w.cold_ms, 0);
	CU_ASSERT(read_with_field("\"born\":1701705600123.0", &w));
	CU_ASSERT_EQUAL(w.born_ms, 1701705600123);
	CU_ASSERT(read_with_field("\"coldRemainingMs\":1500", &w));
	CU_ASSERT_EQUAL(w.cold_ms, 1500);
}

static void entry_with_a_field_of_another_type_is_rejected(void)
{
	static const char *const fields[] = {
		"\"born\":\"1701705600123\"",
		"\"born\":1701705600123.5",
		"\"born\":-1",
		"\"born\":1e300",
		"\"born\":null",
		"\"born\":[]",
		"\"coldRemainingMs\":\"1\"",
		"\"coldRemainingMs\":null",
		"\"version\":1",
		"\"slots\":\"8\"",
		"\"slots\":-1",
		"\"sequence\":{}",
	};
	struct drive_worker w;
	size_t i;

	CU_ASSERT(read_with_field("\"version\":\"v1\",\"slots\":8", &w));
	for (i = 0; i < sizeof(fields) / sizeof(*fields); i++)
		CU_ASSERT_FALSE(read_with_field(fields[i], &w));
}

/* Reads an entry with this capacity, address and further fields. */
static bool read_odd(const char *cpu, const char *address, const char *fields,
		     struct drive_worker *w)
{
	char text[TEXT_MAX];

	snprintf(text, sizeof(text),
		 "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z\","
		 "\"state\":\"ready\",\"labels\":[\"a\"],"
		 "\"capacity\":{\"cpu\":%s,\"memMb\":1}%s}",
		 address, cpu, fields);
	return read_worker(text, w);
}

static void entry_whose_address_names_no_port_is_rejected(void)
{
	static const char *const addresses[] = {
		"10.0.0.1:0",	   "10.0.0.1:00000",
		"[::1]:0",	   "10.0.0.1:65536",
		"10.0.0.1:70000",  "[::1]:70000",
		"10.0.0.1:-1",	   "10.0.0.1:1e2",
		"10.0.0.1:",	   "10.0.0.1:80x",
		"10.0.0.1",	   ":80",
		"10.0.0.1: 80",	   "::1:80",
		"[::1]",	   "[]:80",
		"host.example:80", "10.0.0.1:80\\u0000",
		"10.0.0.256:80",   "fe80::1%lo:80",
		"[fe80::1%lo]:80", "10.0.0.1:9999999999999999999999",
	};
	struct drive_worker w;
	size_t i;

	for (i = 0; i < sizeof(addresses) / sizeof(*addresses); i++)
		CU_ASSERT_FALSE(read_odd("1", addresses[i], "", &w));
	CU_ASSERT(read_odd("1", "[::1]:65535", "", &w));
	CU_ASSERT_STRING_EQUAL(w.addr.ip, "::1");
	CU_ASSERT_EQUAL(w.addr.port, 65535);
}

static void entry_with_a_number_out_of_range_is_rejected(void)
{
	static const char *const numbers[] = {
		"-1",	      "-0.5",
		"4294967296", "1e30",
		"1e308",      "1e999",
		"-1e999",     "9223372036854775808",
		"NaN",	      "Infinity",
		"0x10",	      "\"1\"",
		"null",	      "1000000000000000000000000000000",
	};
	char field[128];
	struct drive_worker w;
	size_t i;

	for (i = 0; i < sizeof(numbers) / sizeof(*numbers); i++) {
		CU_ASSERT_FALSE(read_odd(numbers[i], "10.0.0.1:80", "", &w));
		snprintf(field, sizeof(field), ",\"coldRemainingMs\":%s",
			 numbers[i]);
		CU_ASSERT_FALSE(read_odd("1", "10.0.0.1:80", field, &w));
	}
	CU_ASSERT(read_odd("4294967295", "10.0.0.1:80",
			   ",\"coldRemainingMs\":4294967295,"
			   "\"born\":9007199254740992.0,"
			   "\"sequence\":9223372036854775807,\"slots\":1e308",
			   &w));
	CU_ASSERT_EQUAL(w.cpu_milli, UINT32_MAX);
	CU_ASSERT_EQUAL(w.cold_ms, UINT32_MAX);
	CU_ASSERT_FALSE(read_with_field("\"born\":9007199254740994.0", &w));
	CU_ASSERT_FALSE(read_with_field("\"sequence\":1e999", &w));
}

static void add_nested(struct buf *out, size_t depth, bool is_closed)
{
	size_t i;

	for (i = 0; i < depth; i++)
		buf_puts(out, i % 2 ? "{\"a\":" : "[");
	if (!is_closed)
		return;
	buf_puts(out, "1");
	while (i--)
		buf_puts(out, i % 2 ? "}" : "]");
}

/* Deep nesting, in a field, alone or cut off, may not use up the stack. */
static void entry_that_is_nested_very_deeply_is_rejected(void)
{
	static const size_t depths[] = {2047, 2049, 10000, 1000000};
	struct drive_worker w;
	size_t i;

	for (i = 0; i < sizeof(depths) / sizeof(*depths); i++) {
		auto_buf struct buf alone = {0};
		auto_buf struct buf field = {0};

		add_nested(&alone, depths[i], i % 2);
		CU_ASSERT_FALSE(read_worker(alone.data, &w));
		buf_puts(&field, "{\"state\":\"ready\",\"labels\":");
		add_nested(&field, depths[i], true);
		buf_puts(&field, "}");
		CU_ASSERT_FALSE(read_worker(field.data, &w));
	}
}

static void entry_with_an_odd_text_is_rejected(void)
{
	static const char *const fields[] = {
		",\"service\":\"s\"", /* a second time */
		",\"a\":\"\\u0000\"", ",\"\\u0000\":1", ",\"a\":\"\\ud800\"",
		",\"a\":\"\xff\"",    ",\"a\":\"\n\"",	",",
		",\"version\":[]",
	};
	auto_buf struct buf text = {0};
	char name[SYC_NAME_MAX + 1];
	struct drive_worker w;
	size_t i;

	for (i = 0; i < sizeof(fields) / sizeof(*fields); i++)
		CU_ASSERT_FALSE(read_odd("1", "10.0.0.1:80", fields[i], &w));
	memset(name, 'i', SYC_NAME_MAX);
	name[SYC_NAME_MAX] = '\0';
	CU_ASSERT_FALSE(platform_worker_read(name, bytes_of(worker_text), &w));
	name[SYC_NAME_MAX - 1] = '\0';
	CU_ASSERT(platform_worker_read(name, bytes_of(worker_text), &w));
	CU_ASSERT_STRING_EQUAL(w.name, name);
	buf_puts(&text, "{\"state\":\"");
	for (i = 0; i < LONG_TEXT; i++)
		buf_puts(&text, "ready");
	buf_puts(&text, "\"}");
	CU_ASSERT_FALSE(read_worker(text.data, &w));
}

static void answer_names_the_life_of_its_worker(void)
{
	static const char with[] = "{\"clockMs\":7,\"born\":1701705600123}";
	static const char invalid[] = "{\"clockMs\":7,\"born\":\"x\"}";
	struct drive_call_answer a;

	platform_answer_read(200, bytes_of(with), &a);
	CU_ASSERT_EQUAL(a.born_ms, 1701705600123);
	CU_ASSERT_EQUAL(a.clock_ms, 7);
	platform_answer_read(200, bytes_of(invalid), &a);
	CU_ASSERT_EQUAL(a.born_ms, 0);
	platform_answer_read(200, bytes_of("{}"), &a);
	CU_ASSERT_EQUAL(a.born_ms, 0);
}

static void config_is_read_and_routes_are_found(void)
{
	struct fleet_routes routes;
	const struct fleet_route *r;
	const char *why;
	size_t skipped;

	CU_ASSERT(platform_config_read(bytes_of(config_text), &routes, &skipped,
				       &why));
	CU_ASSERT_EQUAL(routes.version, 7);
	CU_ASSERT_EQUAL(routes.n, 2);
	CU_ASSERT_EQUAL(skipped, 0);
	r = fleet_route_find(&routes, "h.example:80", "/p1/0123");
	CU_ASSERT_STRING_EQUAL(r->name, "r-1");
	CU_ASSERT_EQUAL(r->objective_percent, 160);
	CU_ASSERT_EQUAL(r->objective_add_ms, 60);
	CU_ASSERT_EQUAL(r->attempts_max, 4);
	r = fleet_route_find(&routes, "H.example", "/p1/deeper/0123");
	CU_ASSERT_STRING_EQUAL(r->name, "r-2");
	CU_ASSERT_PTR_NULL(fleet_route_find(&routes, "h.example", "/p2/"));
	CU_ASSERT_PTR_NULL(fleet_route_find(&routes, "other", "/p1/"));
	fleet_routes_free(&routes);
}

static void invalid_route_is_skipped_and_the_others_are_kept(void)
{
	static const char text[] =
		"{\"version\":3,\"routes\":[{\"name\":5},null,{\"name\":\"r\","
		"\"host\":\"h\",\"prefix\":\"/\",\"service\":\"s\","
		"\"priority\":\"high\"}]}";
	struct fleet_routes routes;
	const char *why;
	size_t skipped;

	CU_ASSERT(
		platform_config_read(bytes_of(text), &routes, &skipped, &why));
	CU_ASSERT_EQUAL(routes.n, 1);
	CU_ASSERT_EQUAL(skipped, 2);
	CU_ASSERT_EQUAL(routes.list[0].priority, 0);
	fleet_routes_free(&routes);
	CU_ASSERT_FALSE(platform_config_read(bytes_of("{\"routes\":[]}"),
					     &routes, &skipped, &why));
}

static enum platform_job_status read_job(const char *text)
{
	enum platform_job_status status;
	struct platform_job job;
	const char *why;

	status = platform_job_read(bytes_of(text), &job, &why);
	platform_job_free(&job);
	return status;
}

static void invalid_and_unsupported_jobs_are_distinguished(void)
{
	CU_ASSERT_EQUAL(read_job(job_text), PLATFORM_JOB_OK);
	CU_ASSERT_EQUAL(read_job("{}"), PLATFORM_JOB_INVALID);
	CU_ASSERT_EQUAL(read_job("{\"taskSpec\":\"\",\"bestEffort\":true,"
				 "\"steps\":[{\"cpu\":1}]}"),
			PLATFORM_JOB_INVALID);
	CU_ASSERT_EQUAL(read_job("{\"taskSpec\":\"\","
				 "\"steps\":[{\"count\":1}]}"),
			PLATFORM_JOB_UNSUPPORTED);
	CU_ASSERT_EQUAL(read_job("{\"taskSpec\":\"\",\"bestEffort\":true,"
				 "\"steps\":[{\"count\":1,\"gang\":true}]}"),
			PLATFORM_JOB_UNSUPPORTED);
	CU_ASSERT_EQUAL(read_job("{\"taskSpec\":\"\",\"bestEffort\":true,"
				 "\"repetitions\":2,"
				 "\"steps\":[{\"count\":1}]}"),
			PLATFORM_JOB_UNSUPPORTED);
}

/* Two names of 39 bytes that differ in the last one. */
static const char long_name[] = "gpu.product=print-raster-a100-80gb-sxm4";
static const char like_long_name[] = "gpu.product=print-raster-a100-80gb-sxm5";

static enum platform_job_status read_label(const char *label, char *kept)
{
	enum platform_job_status status;
	struct platform_job job;
	char text[TEXT_MAX];
	const char *why;

	snprintf(text, sizeof(text),
		 "{\"taskSpec\":\"\",\"bestEffort\":true,\"steps\":[{"
		 "\"count\":1,\"requirements\":%s}]}",
		 label);
	status = platform_job_read(bytes_of(text), &job, &why);
	if (!status)
		copy_text(kept, SYC_NAME_MAX, job.spec.label);
	platform_job_free(&job);
	return status;
}

static void read_label_of_worker(const char *label, char *kept)
{
	struct drive_worker w;
	char text[TEXT_MAX];

	snprintf(text, sizeof(text),
		 "{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
		 "\"zone\":\"z\",\"state\":\"ready\",\"labels\":[\"%s\"],"
		 "\"capacity\":{\"cpu\":1,\"memMb\":1}}",
		 label);
	CU_ASSERT(read_worker(text, &w));
	CU_ASSERT_EQUAL(w.n_labels, 1);
	CU_ASSERT_STRING_EQUAL(w.kind, w.labels[0]);
	copy_text(kept, SYC_NAME_MAX, w.labels[0]);
}

static void long_label_is_that_of_its_workers_alone(void)
{
	char of_job[SYC_NAME_MAX] = "", same[SYC_NAME_MAX] = "";
	char other[SYC_NAME_MAX] = "", named_so[SYC_NAME_MAX] = "";
	char quoted[TEXT_MAX];

	snprintf(quoted, sizeof(quoted), "\"%s\"", long_name);
	CU_ASSERT_EQUAL(read_label(quoted, of_job), PLATFORM_JOB_OK);
	CU_ASSERT_NOT_EQUAL(strlen(of_job), 0);
	read_label_of_worker(long_name, same);
	CU_ASSERT_STRING_EQUAL(of_job, same);
	read_label_of_worker(like_long_name, other);
	CU_ASSERT_STRING_NOT_EQUAL(of_job, other);
	/* A worker can't pass for one with the long label by a short one. */
	read_label_of_worker(of_job, named_so);
	CU_ASSERT_STRING_NOT_EQUAL(of_job, named_so);
}

static void read_service_of_worker(const char *service, char *kept)
{
	struct drive_worker w;
	char text[TEXT_MAX];

	snprintf(text, sizeof(text),
		 "{\"service\":\"%s\",\"address\":\"10.0.0.1:80\","
		 "\"zone\":\"z\",\"state\":\"ready\",\"labels\":[],"
		 "\"capacity\":{\"cpu\":1,\"memMb\":1}}",
		 service);
	memset(&w, 0, sizeof(w));
	CU_ASSERT(read_worker(text, &w));
	copy_text(kept, SYC_NAME_MAX, w.service);
}

static void route_to_a_service_of_a_long_name_leads_to_its_workers(void)
{
	char same[SYC_NAME_MAX] = "", other[SYC_NAME_MAX] = "";
	struct fleet_routes routes;
	char text[TEXT_MAX];
	const char *why;
	size_t skipped;

	snprintf(text, sizeof(text),
		 "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
		 "\"prefix\":\"/\",\"service\":\"%s\"}]}",
		 long_name);
	CU_ASSERT(
		platform_config_read(bytes_of(text), &routes, &skipped, &why));
	CU_ASSERT_EQUAL(skipped, 0);
	CU_ASSERT_EQUAL_FATAL(routes.n, 1);
	read_service_of_worker(long_name, same);
	CU_ASSERT_NOT_EQUAL(strlen(same), 0);
	CU_ASSERT_STRING_EQUAL(routes.list[0].service, same);
	read_service_of_worker(like_long_name, other);
	CU_ASSERT_STRING_NOT_EQUAL(routes.list[0].service, other);
	fleet_routes_free(&routes);
}

static void short_label_is_kept_as_it_is(void)
{
	static const char longest[] = "a234567890123456789012345678901";
	char kept[SYC_NAME_MAX] = "", quoted[TEXT_MAX];

	CU_ASSERT_EQUAL(strlen(longest), SYC_NAME_MAX - 1);
	snprintf(quoted, sizeof(quoted), "\"%s\"", longest);
	CU_ASSERT_EQUAL(read_label(quoted, kept), PLATFORM_JOB_OK);
	CU_ASSERT_STRING_EQUAL(kept, longest);
	CU_ASSERT_EQUAL(read_label("\"\"", kept), PLATFORM_JOB_OK);
	CU_ASSERT_STRING_EQUAL(kept, "");
	CU_ASSERT_EQUAL(read_label("null", kept), PLATFORM_JOB_OK);
	CU_ASSERT_STRING_EQUAL(kept, "");
}

/* Such a job must not run just anywhere. */
static void job_whose_label_is_no_text_is_invalid(void)
{
	static const char *const labels[] = {"7", "true", "[\"a\"]",
					     "{\"a\":1}"};
	char kept[SYC_NAME_MAX];
	size_t i;

	for (i = 0; i < sizeof(labels) / sizeof(*labels); i++)
		CU_ASSERT_EQUAL(read_label(labels[i], kept),
				PLATFORM_JOB_INVALID);
}

static void lists_of_a_hold_are_read(void)
{
	struct platform_held lists;
	struct drive_call_answer a;

	CU_ASSERT(platform_held_read(bytes_of(lists_text), &lists));
	CU_ASSERT_EQUAL(lists.n_running, 1);
	CU_ASSERT_STRING_EQUAL(lists.running[0].task.job, "5c0e7a21d94b36f8");
	CU_ASSERT_EQUAL(lists.running[0].task.step, 1);
	CU_ASSERT_EQUAL(lists.running[0].task.index, 17);
	CU_ASSERT_EQUAL(lists.running[0].run, 2);
	CU_ASSERT_EQUAL(lists.running[0].percent, 41);
	CU_ASSERT_EQUAL(lists.n_ended, 1);
	CU_ASSERT_EQUAL(lists.ended[0].sequence, 58);
	CU_ASSERT_EQUAL(lists.ended[0].result, DRIVE_RUN_DONE);
	platform_held_free(&lists);
	platform_answer_read(200, bytes_of(lists_text), &a);
	CU_ASSERT_EQUAL(a.result, DRIVE_CALL_DONE);
	CU_ASSERT_EQUAL(a.clock_ms, 482113);
}

/* The driver adds to it and subtracts from it. */
static void clock_that_cannot_be_added_to_is_not_taken(void)
{
	static const char *const clocks[] = {
		"9223372036854775807",
		"-9223372036854775808",
		"9007199254740993",
		"-9007199254740993",
		"\"7\"",
		"1e300",
	};
	struct drive_call_answer a;
	char text[64];
	size_t i;

	for (i = 0; i < sizeof(clocks) / sizeof(*clocks); i++) {
		snprintf(text, sizeof(text), "{\"clockMs\":%s}", clocks[i]);
		platform_answer_read(200, bytes_of(text), &a);
		CU_ASSERT_EQUAL(a.result, DRIVE_CALL_DONE);
		CU_ASSERT_FALSE(a.has_clock);
		CU_ASSERT_EQUAL(a.clock_ms, 0);
	}
	platform_answer_read(200, bytes_of("{\"clockMs\":9007199254740992}"),
			     &a);
	CU_ASSERT(a.has_clock);
	CU_ASSERT_EQUAL(a.clock_ms, 9007199254740992);
}

/* Cut off, a number would name another run. */
static void row_with_a_number_out_of_range_is_skipped(void)
{
	static const char *const numbers[] = {"4294967297", "1e300", "-1",
					      "18446744073709551616.0"};
	struct platform_held lists;
	char text[TEXT_MAX];
	size_t i;

	for (i = 0; i < sizeof(numbers) / sizeof(*numbers); i++) {
		snprintf(text, sizeof(text),
			 "{\"running\":[[\"a.0.1.17\",%s,\"\",41]],"
			 "\"finished\":[[58,\"a.0.0.9\",%s,\"done\",\"\"]]}",
			 numbers[i], numbers[i]);
		CU_ASSERT(platform_held_read(bytes_of(text), &lists));
		CU_ASSERT_EQUAL(lists.n_running, 0);
		CU_ASSERT_EQUAL(lists.n_ended, 0);
		CU_ASSERT_EQUAL(lists.skipped, 2);
		platform_held_free(&lists);
	}
}

/* One more than the greatest number would be zero, and divide the run time. */
static void progress_over_one_hundred_percent_is_one_hundred(void)
{
	static const char *const numbers[] = {"101", "4294967295", "4294967396",
					      "1e300"};
	struct platform_held lists;
	char text[TEXT_MAX];
	size_t i;

	for (i = 0; i < sizeof(numbers) / sizeof(*numbers); i++) {
		snprintf(text, sizeof(text),
			 "{\"running\":[[\"a.0.1.17\",1,\"\",%s]],"
			 "\"finished\":[]}",
			 numbers[i]);
		CU_ASSERT(platform_held_read(bytes_of(text), &lists));
		CU_ASSERT_EQUAL_FATAL(lists.n_running, 1);
		CU_ASSERT_EQUAL(lists.running[0].percent, 100);
		platform_held_free(&lists);
	}
}

static void status_and_reason_of_answers_are_mapped(void)
{
	static const struct {
		unsigned status;
		const char *body;
		enum drive_call_result result;
	} rows[] = {
		{409, "{\"clockMs\":1,\"reason\":\"room\"}",
		 DRIVE_CALL_NO_CAPACITY},
		{409, "{\"reason\":\"fence\"}", DRIVE_CALL_FENCED},
		{409, "{\"reason\":\"late\"}", DRIVE_CALL_LEASE_EXPIRED},
		{409, "{\"reason\":\"old\"}", DRIVE_CALL_OLD_RUN},
		{409, "{\"reason\":\"mood\"}", DRIVE_CALL_INVALID},
		{421, "", DRIVE_CALL_OTHER_INCARNATION},
		{429, "", DRIVE_CALL_UNHEALTHY},
		{503, "", DRIVE_CALL_UNHEALTHY},
		{400, "", DRIVE_CALL_INVALID},
	};
	struct drive_call_answer a;
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(*rows); i++) {
		platform_answer_read(rows[i].status, bytes_of(rows[i].body),
				     &a);
		CU_ASSERT_EQUAL(a.result, rows[i].result);
	}
}

static void calls_are_written(void)
{
	struct drive_task task = {.job = "5c0e7a21d94b36f8", .index = 3};
	struct drive_start start = {.task = &task,
				    .run = 2,
				    .fence = 7,
				    .lease_expires_at = 486000,
				    .body = {"a\"b", 3}};
	struct drive_hold hold = {.fence = 7, .cursor = 57, .wait_ms = 200};
	auto_buf struct buf a = {0};
	auto_buf struct buf b = {0};

	platform_start_write(&start, &a);
	CU_ASSERT_STRING_EQUAL(
		a.data, "{\"task\":\"5c0e7a21d94b36f8.0.0.3\",\"run\":2,"
			"\"taskSpec\":\"a\\\"b\",\"deadlineAtMs\":486000,"
			"\"fencingToken\":7}");
	platform_hold_write(&hold, &b);
	CU_ASSERT_STRING_EQUAL(b.data, "{\"fencingToken\":7,\"ackCursor\":57,"
				       "\"waitMs\":200}");
}

static void read_all(struct syc_bytes text)
{
	struct fleet_routes routes;
	struct platform_held lists;
	struct platform_job job;
	struct drive_worker w;
	struct drive_call_answer a;
	const char *why;
	size_t skipped;

	platform_worker_read("i-1", text, &w);
	if (platform_config_read(text, &routes, &skipped, &why))
		fleet_routes_free(&routes);
	platform_job_read(text, &job, &why);
	platform_job_free(&job);
	if (platform_held_read(text, &lists))
		platform_held_free(&lists);
	platform_answer_read(409, text, &a);
}

static void read_damaged(struct rng *rng, const char *text)
{
	char copy[TEXT_MAX];
	size_t n = strlen(text), k, changes = 1 + rng_below(rng, 4);

	memcpy(copy, text, n);
	for (k = 0; k < changes; k++)
		copy[rng_below(rng, n)] = (char)rng_below(rng, 256);
	if (!rng_below(rng, 4))
		n = rng_below(rng, n);
	read_all((struct syc_bytes){copy, n});
}

/* Each reader reads each kind of damaged text; none may end the process. */
static void damaged_text_does_not_end_the_process(void)
{
	struct rng rng = {.state = 20261203};
	int i;

	log_level_set(LOG_ERROR);
	for (i = 0; i < DAMAGED_TEXTS; i++) {
		read_damaged(&rng, worker_text);
		read_damaged(&rng, config_text);
		read_damaged(&rng, job_text);
		read_damaged(&rng, lists_text);
	}
	CU_PASS("no reader ended the process");
}

/* Where a value begins: behind a colon, a bracket or a comma. */
static size_t find_value(struct rng *rng, const char *text)
{
	size_t n = strlen(text), at = rng_below(rng, n), i;

	for (i = 0; i < n; i++, at = (at + 1) % n)
		if (strchr(":[,", text[at]))
			return at + 1;
	return n;
}

static void add_odd_value(struct rng *rng, struct buf *out)
{
	static const char *const values[] = {
		"1e308",
		"-1e308",
		"1e999",
		"9223372036854775807",
		"-9223372036854775808",
		"1000000000000000000000000",
		"4294967295",
		"4294967296",
		"-0.0",
		"0",
		"\"10.0.0.1:0\"",
		"\"10.0.0.1:70000\"",
		"\"[::1]:99999999999999999999\"",
		"\"\\u0000\"",
		"{}",
		"[]",
	};
	static const size_t depths[] = {20, 2040, 5000};
	size_t kind = rng_below(rng, sizeof(values) / sizeof(*values) + 2);

	if (kind < sizeof(values) / sizeof(*values))
		buf_puts(out, values[kind]);
	else
		add_nested(out, depths[rng_below(rng, 3)], true);
}

/* Puts an odd value for one of the text's values, or before it. */
static void read_with_odd_value(struct rng *rng, const char *text)
{
	auto_buf struct buf odd = {0};
	size_t at = find_value(rng, text);
	size_t skip = strcspn(text + at, ",]}");

	buf_add(&odd, text, at);
	add_odd_value(rng, &odd);
	if (!rng_below(rng, 8))
		skip = 0;
	buf_puts(&odd, text + at + skip);
	read_all((struct syc_bytes){odd.data, odd.len});
}

static void odd_value_does_not_end_the_process(void)
{
	struct rng rng = {.state = 20261205};
	int i;

	log_level_set(LOG_ERROR);
	for (i = 0; i < ODD_TEXTS; i++) {
		read_with_odd_value(&rng, worker_text);
		read_with_odd_value(&rng, config_text);
		read_with_odd_value(&rng, job_text);
		read_with_odd_value(&rng, lists_text);
	}
	CU_PASS("no reader ended the process");
}

SUITE(platform_reader)
{
	TEST(worker_entry_is_read);
	TEST(invalid_worker_entry_is_rejected);
	TEST(life_of_a_worker_is_read);
	TEST(entry_with_a_field_of_another_type_is_rejected);
	TEST(entry_whose_address_names_no_port_is_rejected);
	TEST(entry_with_a_number_out_of_range_is_rejected);
	TEST(entry_that_is_nested_very_deeply_is_rejected);
	TEST(entry_with_an_odd_text_is_rejected);
	TEST(answer_names_the_life_of_its_worker);
	TEST(config_is_read_and_routes_are_found);
	TEST(invalid_route_is_skipped_and_the_others_are_kept);
	TEST(invalid_and_unsupported_jobs_are_distinguished);
	TEST(long_label_is_that_of_its_workers_alone);
	TEST(route_to_a_service_of_a_long_name_leads_to_its_workers);
	TEST(short_label_is_kept_as_it_is);
	TEST(job_whose_label_is_no_text_is_invalid);
	TEST(lists_of_a_hold_are_read);
	TEST(progress_over_one_hundred_percent_is_one_hundred);
	TEST(clock_that_cannot_be_added_to_is_not_taken);
	TEST(row_with_a_number_out_of_range_is_skipped);
	TEST(status_and_reason_of_answers_are_mapped);
	TEST(calls_are_written);
	TEST(damaged_text_does_not_end_the_process);
	TEST(odd_value_does_not_end_the_process);
}
