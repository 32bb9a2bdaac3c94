/* Tests the adapter of the platform's store with a server of raw answers. */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "platform/store.h"
#include "transport_help.h"
#include "unit.h"
#include "util/log.h"

enum {
	POOLED = 3,
	TIMEOUT_MS = 1000,
	LATE_MS = 250, /* when a read is repeated */
	FDS_MAX = 1024,
	NAMES_MAX = 256,
	DEEP = 100000 /* levels of an entry that is nested very deeply */
};

/* A worker that can be used. */
static const char worker[] =
	"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	"\"state\":\"ready\",\"labels\":[\"a\"],"
	"\"capacity\":{\"cpu\":1,\"memMb\":1}}";

struct fixture {
	struct ev_loop *loop;
	struct raw_server server;
	struct platform_store *store;
	struct syc_platform_ops ops;
	int n_done;
	int n_ok;
	enum syc_platform_status status; /* of the last call to end */
	bool was_used[FDS_MAX], is_silent[FDS_MAX]; /* by descriptor */
	bool answers_watch; /* the next answer is that of a watch */
	int store_revision; /* in the next answer */
	const char *const *bodies; /* the next answers; NULL: as above */
	uint64_t index; /* of the last call to end */
	char value[64];
	int n_lists, n_failed_lists;
	char names[NAMES_MAX]; /* of the workers of the last list */
};

static void on_done(void *arg, const struct syc_platform_value *v)
{
	struct fixture *f = arg;

	f->n_done++;
	f->n_ok += v->status == SYC_PLATFORM_OK;
	f->status = v->status;
	f->index = v->index;
	snprintf(f->value, sizeof(f->value), "%.*s", (int)v->value.n,
		 v->value.p ? (const char *)v->value.p : "");
}

static void on_workers(void *ctx, const struct drive_worker *list, size_t n)
{
	struct fixture *f = ctx;
	size_t i, len = 0;

	f->n_lists++;
	f->n_failed_lists += !list;
	f->names[0] = '\0';
	for (i = 0; list && i < n; i++)
		len += (size_t)snprintf(f->names + len, sizeof(f->names) - len,
					"%s ", list[i].name);
}

static void answer(struct raw_server *s, int fd)
{
	struct fixture *f = s->ctx;
	auto_buf struct buf text = {0};
	const char *body;
	char usual[512];

	f->was_used[fd] = true;
	if (f->is_silent[fd])
		return;
	snprintf(usual, sizeof(usual),
		 f->answers_watch
			 ? "{\"events\":[],\"storeRevision\":%d}"
			 : "{\"key\":\"op/"
			   "config\",\"value\":\"eA==\",\"revision\":5,"
			   "\"storeRevision\":%d}",
		 f->store_revision);
	body = f->bodies ? *f->bodies++ : usual;
	if (!body)
		return;
	buf_printf(&text, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
		   strlen(body), body);
	raw_send(fd, text.data);
}

static void setup(struct fixture *f)
{
	struct platform_store_options opt = {.timeout_ms = TIMEOUT_MS};

	memset(f, 0, sizeof(*f));
	f->loop = ev_loop_new(0);
	f->store_revision = 20;
	f->server.ctx = f;
	f->server.data = answer;
	raw_server_start(&f->server, f->loop);
	opt.loop = f->loop;
	opt.addr = loopback(f->server.port);
	opt.ctx = f;
	opt.workers = on_workers;
	f->store = platform_store_new(&opt);
	f->ops = platform_store_ops(f->store);
}

static void teardown(struct fixture *f)
{
	platform_store_free(f->store);
	raw_server_stop(&f->server);
	ev_loop_destroy(f->loop);
}

static void get(struct fixture *f)
{
	f->ops.get(f->ops.ctx, PLATFORM_CONFIG, on_done, f);
}

static void on_time(struct ev_loop *loop, ev_timer *w, int events)
{
	++*(int *)w->data;
}

static void run_ms(struct fixture *f, int ms)
{
	int over = 0;
	ev_timer timer;

	ev_timer_init(&timer, on_time, ms / 1000., 0);
	timer.data = &over;
	ev_now_update(f->loop);
	ev_timer_start(f->loop, &timer);
	run_until(f->loop, &over, 1);
}

static void silent_idle_connections_delay_a_repeated_read_only_once(void)
{
	struct fixture f;
	int k;

	setup(&f);
	for (k = 0; k < POOLED; k++)
		get(&f);
	CU_ASSERT(run_until(f.loop, &f.n_done, POOLED));
	CU_ASSERT_EQUAL(f.server.n_accepted, POOLED);
	memcpy(f.is_silent, f.was_used, sizeof(f.is_silent));
	get(&f);
	run_ms(&f, LATE_MS);
	CU_ASSERT_EQUAL(f.n_done, POOLED);
	get(&f);
	run_ms(&f, LATE_MS);
	CU_ASSERT_EQUAL(f.server.n_accepted, POOLED + 1);
	CU_ASSERT_EQUAL(f.n_ok, POOLED + 1);
	teardown(&f);
}

static void older_answer_than_an_earlier_one_is_an_error(void)
{
	struct fixture f;

	setup(&f);
	get(&f);
	CU_ASSERT(run_until(f.loop, &f.n_done, 1));
	CU_ASSERT_EQUAL(f.status, SYC_PLATFORM_OK);
	f.store_revision = 10;
	get(&f);
	CU_ASSERT(run_until(f.loop, &f.n_done, 2));
	CU_ASSERT_EQUAL(f.status, SYC_PLATFORM_ERROR);
	f.store_revision = 20;
	get(&f);
	CU_ASSERT(run_until(f.loop, &f.n_done, 3));
	CU_ASSERT_EQUAL(f.status, SYC_PLATFORM_OK);
	teardown(&f);
}

static void watch(struct fixture *f, uint64_t index)
{
	f->ops.watch(f->ops.ctx, PLATFORM_CONFIG, index, LATE_MS, on_done, f);
}

static void watch_begins_before_a_change_that_the_last_one_missed(void)
{
	struct fixture f;

	setup(&f);
	get(&f);
	CU_ASSERT(run_until(f.loop, &f.n_done, 1));
	f.answers_watch = true;
	f.store_revision = 30;
	watch(&f, 5);
	CU_ASSERT(run_until(f.loop, &f.n_done, 2));
	watch(&f, 5);
	CU_ASSERT(run_until(f.loop, &f.n_done, 3));
	CU_ASSERT_PTR_NOT_NULL(strstr(f.server.in.data, "after=20"));
	CU_ASSERT_PTR_NULL(strstr(f.server.in.data, "after=30"));
	teardown(&f);
}

/* Reads the evacuations, which the answers `bodies` hold. */
static void read_evacuations(struct fixture *f, const char *const *bodies)
{
	int n_done = f->n_done;

	f->bodies = bodies;
	f->ops.get(f->ops.ctx, PLATFORM_EVACUATIONS, on_done, f);
	CU_ASSERT(run_until(f->loop, &f->n_done, n_done + 1));
}

static void evacuations_of_all_pages_are_one_value(void)
{
	static const char *const pages[] = {
		"{\"items\":[{\"key\":\"op/evacuate/a\"},"
		"{\"key\":\"op/evacuate/b-1\"}],\"hasMore\":true,"
		"\"storeRevision\":30}",
		"{\"items\":[{\"key\":\"op/evacuate/c\"}],"
		"\"storeRevision\":33}",
		"{\"items\":[],\"storeRevision\":34}",
	};
	struct fixture f;

	setup(&f);
	read_evacuations(&f, pages);
	CU_ASSERT_EQUAL(f.status, SYC_PLATFORM_OK);
	CU_ASSERT_STRING_EQUAL(f.value, "a\nb-1\nc\n");
	CU_ASSERT_EQUAL(f.index, 30);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(f.server.in.data, "after=op/evacuate/b-1"));
	read_evacuations(&f, pages + 2);
	CU_ASSERT_EQUAL(f.status, SYC_PLATFORM_OK);
	CU_ASSERT_STRING_EQUAL(f.value, "");
	CU_ASSERT_EQUAL(f.index, 34);
	teardown(&f);
}

static void unusable_evacuation_keys_are_ignored(void)
{
	static const char *const page[] = {
		"{\"items\":[{\"key\":\"op/evacuate/\"},"
		"{\"key\":\"op/evacuate/two\\nlines\"},"
		"{\"key\":\"op/evacuate/"
		"a-name-of-more-bytes-than-any-domain-has\"},"
		"{\"key\":\"op/evacuate/good\"}],\"storeRevision\":30}",
	};
	struct fixture f;

	log_level_set(LOG_ERROR);
	setup(&f);
	read_evacuations(&f, page);
	CU_ASSERT_EQUAL(f.status, SYC_PLATFORM_OK);
	CU_ASSERT_STRING_EQUAL(f.value, "good\n");
	teardown(&f);
}

/* Otherwise a domain would be taken as not evacuated. */
static void damaged_answers_about_evacuations_are_errors(void)
{
	static const char *const damaged[] = {
		"{\"items\":[{\"key\":\"op/evacuate/a\"}]}",
		"{\"storeRevision\":40}",
		"{\"items\":{},\"storeRevision\":41}",
		"{\"items\":[{\"kex\":\"op/evacuate/a\"}],"
		"\"storeRevision\":42}",
		"{\"items\":[{\"key\":\"op/evacuatf/a\"}],"
		"\"storeRevision\":43}",
		"{\"items\":[],\"hasMore\":true,\"storeRevision\":44}",
		"{\"items\":[{\"key\":\"op/evacuate/a&b\"}],"
		"\"hasMore\":true,\"storeRevision\":45}",
		"{\"items\":[],\"storeRevi",
		"",
		"{\"items\":[],\"storeRevision\":12}",
	};
	struct fixture f;
	size_t i;

	setup(&f);
	for (i = 0; i < sizeof(damaged) / sizeof(*damaged); i++) {
		read_evacuations(&f, &damaged[i]);
		CU_ASSERT_EQUAL(f.status, SYC_PLATFORM_ERROR);
	}
	teardown(&f);
}

static void watch_evacuations(struct fixture *f, const char *const *bodies)
{
	int n_done = f->n_done;

	f->bodies = bodies;
	f->ops.watch(f->ops.ctx, PLATFORM_EVACUATIONS, 25, LATE_MS, on_done, f);
	CU_ASSERT(run_until(f->loop, &f->n_done, n_done + 1));
}

static void watch_that_reports_an_evacuation_is_followed_by_a_read(void)
{
	static const char *const answers[] = {
		"{\"events\":[],\"storeRevision\":29}",
		"{\"events\":[{\"key\":\"op/evacuate/a\",\"deleted\":true}],"
		"\"storeRevision\":30}",
		"{\"items\":[{\"key\":\"op/evacuate/b\"}],"
		"\"storeRevision\":31}",
		"{\"storeRevision\":32}",
	};
	struct fixture f;

	setup(&f);
	watch_evacuations(&f, answers);
	CU_ASSERT_EQUAL(f.status, SYC_PLATFORM_OK);
	CU_ASSERT_EQUAL(f.index, 25);
	watch_evacuations(&f, answers + 1);
	CU_ASSERT_EQUAL(f.status, SYC_PLATFORM_OK);
	CU_ASSERT_EQUAL(f.index, 31);
	CU_ASSERT_STRING_EQUAL(f.value, "b\n");
	CU_ASSERT_PTR_NOT_NULL(strstr(f.server.in.data, "after=25"));
	watch_evacuations(&f, answers + 3);
	CU_ASSERT_EQUAL(f.status, SYC_PLATFORM_ERROR);
	teardown(&f);
}

/* Appends an item to the page of a list of workers. */
static void add_item(struct buf *page, const char *key, const char *value)
{
	size_t n = sodium_base64_ENCODED_LEN(strlen(value),
					     sodium_base64_VARIANT_ORIGINAL);
	char *text = malloc(n);

	CU_ASSERT_PTR_NOT_NULL_FATAL(text);
	sodium_bin2base64(text, n, (const unsigned char *)value, strlen(value),
			  sodium_base64_VARIANT_ORIGINAL);
	buf_printf(page,
		   "%s{\"key\":\"servers/%s\",\"value\":\"%s\","
		   "\"revision\":9,\"created\":8,\"lease\":0}",
		   page->len ? "," : "{\"items\":[", key, text);
	free(text);
}

static const char *end_page(struct buf *page, bool has_more)
{
	buf_printf(page, "],\"hasMore\":%s,\"storeRevision\":30}",
		   has_more ? "true" : "false");
	return page->data;
}

/* Reads the list of workers; `pages` ends with NULL, which is not answered. */
static void read_workers(struct fixture *f, const char *const *pages)
{
	int n_lists = f->n_lists;

	f->bodies = pages;
	f->server.in.len = 0;
	platform_store_workers(f->store);
	CU_ASSERT(run_until(f->loop, &f->n_lists, n_lists + 1));
	f->bodies = NULL;
}

/* Reads a list of workers of two pages; the odd entry ends the first one. */
static void read_two_pages(struct fixture *f, const char *odd_key,
			   const char *odd_value)
{
	auto_buf struct buf first = {0};
	auto_buf struct buf second = {0};
	const char *pages[4] = {0};

	add_item(&first, "a", worker);
	add_item(&first, odd_key, odd_value);
	add_item(&second, "z", worker);
	pages[0] = end_page(&first, true);
	pages[1] = pages[2] = end_page(&second, false);
	read_workers(f, pages);
}

/*
 * Otherwise the store gets another key, and may return the same page again,
 * without end.
 */
static void page_after_a_key_with_any_bytes_is_requested(void)
{
	static const struct {
		const char *key, *after;
	} cases[] = {
		{"b&c=d", "b%26c%3Dd"},
		{"b%41", "b%2541"},
		{"b#c+d e", "b%23c%2Bd%20e"},
		{"b\\\"\\\\\\r\\n", "b%22%5C%0D%0A"},
		{"b\xc3\xa4", "b%C3%A4"},
		{"b/c-._~9Z", "b/c-._~9Z"},
	};
	struct fixture f;
	char query[128];
	size_t i;

	log_level_set(LOG_ERROR);
	setup(&f);
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		read_two_pages(&f, cases[i].key, "x");
		CU_ASSERT_STRING_EQUAL(f.names, "a z ");
		snprintf(query, sizeof(query),
			 "?prefix=servers/&after=servers/%s HTTP/1.1\r\n",
			 cases[i].after);
		CU_ASSERT_PTR_NOT_NULL(strstr(f.server.in.data, query));
	}
	teardown(&f);
}

/* Its key or another field is at fault; its value would be that of a worker. */
static void item_that_cannot_be_parsed_costs_only_itself(void)
{
	static const char *const keys[] = {
		"b\\u0000c",
		"\\u0000",
		"b\\ud800",
		"\\udc00\\ud800",
		"b\xff",
		"\xed\xa0\x80",
		"b\",\"n\":1e999,\"m\":\"",
		"b\",\"n\":1000000000000000000000000,\"m\":\"",
		"b\",\"key\":\"",
	};
	struct fixture f;
	size_t i;

	log_level_set(LOG_ERROR);
	setup(&f);
	for (i = 0; i < sizeof(keys) / sizeof(*keys); i++) {
		read_two_pages(&f, keys[i], worker);
		CU_ASSERT_STRING_EQUAL(f.names, "a z ");
	}
	CU_ASSERT_EQUAL(f.n_failed_lists, 0);
	teardown(&f);
}

static void page_begins_after_the_last_key_that_is_readable(void)
{
	struct fixture f;

	log_level_set(LOG_ERROR);
	setup(&f);
	read_two_pages(&f, "b\\ud800", worker);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.server.in.data, "after=servers/a "));
	read_two_pages(&f, "b\\u0000c", worker);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(f.server.in.data, "after=servers/b%00c "));
	teardown(&f);
}

/* A value may have any bytes; in base64 they cannot damage the page. */
static void odd_value_costs_only_its_entry(void)
{
	static const char *const values[] = {
		"",
		"\xff\xfe",
		"{\"a\":1e999}",
		"NaN",
		"\"\\ud800\"",
		"[1,2,",
		"{\"a\":1000000000000000000000000}",
	};
	auto_buf struct buf deep = {0};
	struct fixture f;
	size_t i;

	log_level_set(LOG_ERROR);
	setup(&f);
	for (i = 0; i < sizeof(values) / sizeof(*values); i++) {
		read_two_pages(&f, "b", values[i]);
		CU_ASSERT_STRING_EQUAL(f.names, "a z ");
	}
	for (i = 0; i < DEEP; i++)
		buf_puts(&deep, i % 2 ? "{\"a\":" : "[");
	read_two_pages(&f, "b", deep.data);
	CU_ASSERT_STRING_EQUAL(f.names, "a z ");
	CU_ASSERT_EQUAL(f.n_failed_lists, 0);
	teardown(&f);
}

/* Otherwise the workers of the further pages would count as gone. */
static void list_that_cannot_be_read_on_is_a_failure(void)
{
	static const char *const pages[] = {
		"{\"items\":[],\"hasMore\":true}",
		"{\"items\":[{\"value\":\"eA==\"}],\"hasMore\":true}",
		"{\"items\":[{\"key\":\"servers/\\ud800\"}],\"hasMore\":true}",
	};
	const char *next[] = {NULL, NULL};
	struct fixture f;
	size_t i;

	log_level_set(LOG_ERROR);
	setup(&f);
	for (i = 0; i < sizeof(pages) / sizeof(*pages); i++) {
		next[0] = pages[i];
		read_workers(&f, next);
	}
	CU_ASSERT_EQUAL(f.n_failed_lists, 3);
	CU_ASSERT_EQUAL(platform_store_calls(f.store), 3);
	teardown(&f);
}

/* A store that does not go on would be asked for the same page without end. */
static void page_that_ends_where_it_begins_ends_the_read(void)
{
	static const char page[] =
		"{\"items\":[{\"key\":\"servers/a\"}],\"hasMore\":true}";
	static const char *const pages[] = {page, page, page, page, NULL};
	struct fixture f;

	log_level_set(LOG_ERROR);
	setup(&f);
	read_workers(&f, pages);
	CU_ASSERT_EQUAL(f.n_failed_lists, 1);
	CU_ASSERT_EQUAL(platform_store_calls(f.store), 2);
	teardown(&f);
}

SUITE(platform_store)
{
	TEST(item_that_cannot_be_parsed_costs_only_itself);
	TEST(page_begins_after_the_last_key_that_is_readable);
	TEST(odd_value_costs_only_its_entry);
	TEST(list_that_cannot_be_read_on_is_a_failure);
	TEST(page_that_ends_where_it_begins_ends_the_read);
	TEST(page_after_a_key_with_any_bytes_is_requested);
	TEST(evacuations_of_all_pages_are_one_value);
	TEST(unusable_evacuation_keys_are_ignored);
	TEST(damaged_answers_about_evacuations_are_errors);
	TEST(watch_that_reports_an_evacuation_is_followed_by_a_read);
	TEST(watch_begins_before_a_change_that_the_last_one_missed);
	TEST(older_answer_than_an_earlier_one_is_an_error);
	TEST(silent_idle_connections_delay_a_repeated_read_only_once);
}
