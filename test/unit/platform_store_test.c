/* Tests the adapter of the platform's store with a server of raw answers. */
#include <string.h>

#include "platform/store.h"
#include "transport_help.h"
#include "unit.h"

enum {
	POOLED = 3,
	TIMEOUT_MS = 1000,
	LATE_MS = 250, /* when a read is repeated */
	FDS_MAX = 1024
};

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
};

static void on_done(void *arg, const struct syc_platform_value *v)
{
	struct fixture *f = arg;

	f->n_done++;
	f->n_ok += v->status == SYC_PLATFORM_OK;
	f->status = v->status;
}

static void answer(struct raw_server *s, int fd)
{
	struct fixture *f = s->ctx;
	char body[128], text[256];

	f->was_used[fd] = true;
	if (f->is_silent[fd])
		return;
	snprintf(body, sizeof(body),
		 f->answers_watch
			 ? "{\"events\":[],\"storeRevision\":%d}"
			 : "{\"key\":\"op/"
			   "config\",\"value\":\"eA==\",\"revision\":5,"
			   "\"storeRevision\":%d}",
		 f->store_revision);
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
		 strlen(body), body);
	raw_send(fd, text);
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

SUITE(platform_store)
{
	TEST(watch_begins_before_a_change_that_the_last_one_missed);
	TEST(older_answer_than_an_earlier_one_is_an_error);
	TEST(silent_idle_connections_delay_a_repeated_read_only_once);
}
