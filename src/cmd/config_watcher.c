#include <stdlib.h>

#include "cmd/config_watcher.h"
#include "sycamoreshore/clock.h"
#include "util/alloc.h"
#include "util/log.h"

enum {
	WATCH_WAIT_MS = 5000,
	ABSENT_RETRY_MS = 250, /* between reads until a configuration exists */
	UNREACHABLE_RETRY_MS = 400 /* between reads of an unreachable store */
};

struct config_watcher {
	struct config_watcher_options opt;
	struct fleet_routes routes;
	uint64_t index; /* index of the last read; zero: absent or not read */
	int64_t sent_at; /* of the call in flight */
	int64_t answered_at; /* the store's last answer; zero: none yet */
	ev_timer timer;
};

static void read_or_watch(struct config_watcher *c);

void config_watcher_offer(struct config_watcher *c, struct syc_bytes text,
			  const char *from)
{
	struct fleet_routes next;
	const char *why;
	size_t skipped;

	if (!c->opt.read(text, &next, &skipped, &why)) {
		log_warn("config_unreadable", LOG_S("from", from),
			 LOG_S("why", why));
		return;
	}
	if (next.version <= c->routes.version) {
		fleet_routes_free(&next);
		return;
	}
	log_info("config_in_force", LOG_U("version", next.version),
		 LOG_U("old_version", c->routes.version),
		 LOG_U("routes", next.n), LOG_U("skipped", skipped),
		 LOG_S("from", from));
	fleet_routes_free(&c->routes);
	c->routes = next;
	c->opt.changed(c->opt.ctx, next.version, text);
}

static void read_later(struct config_watcher *c, int ms)
{
	ev_timer_set(&c->timer, (double)ms / 1000, 0);
	ev_timer_start(c->opt.loop, &c->timer);
}

static void log_unanswered(const struct config_watcher *c, int64_t now,
			   const struct syc_platform_value *v)
{
	log_warn("config_unanswered",
		 LOG_S("call", c->index ? "watch" : "read"),
		 LOG_I("sent_ms_ago", now - c->sent_at),
		 LOG_I("age_ms", c->answered_at ? now - c->answered_at : -1),
		 LOG_U("version", c->routes.version), LOG_S("why", v->message));
}

static void on_value(void *arg, const struct syc_platform_value *v)
{
	struct config_watcher *c = arg;
	int64_t now = syc_now(&syc_clock_boot);

	if (v->status == SYC_PLATFORM_ABSENT) {
		c->index = 0;
		read_later(c, ABSENT_RETRY_MS);
		return;
	}
	if (v->status != SYC_PLATFORM_OK) {
		log_unanswered(c, now, v);
		read_later(c, UNREACHABLE_RETRY_MS);
		return;
	}
	c->answered_at = now;
	if (v->value.n)
		config_watcher_offer(c, v->value, "store");
	c->index = v->index;
	read_or_watch(c);
}

static void read_or_watch(struct config_watcher *c)
{
	const struct syc_platform_ops *ops = &c->opt.store;

	c->sent_at = syc_now(&syc_clock_boot);
	if (c->index)
		ops->watch(ops->ctx, c->opt.key, c->index, WATCH_WAIT_MS,
			   on_value, c);
	else
		ops->get(ops->ctx, c->opt.key, on_value, c);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	read_or_watch(w->data);
}

struct config_watcher *config_watcher_new(
	const struct config_watcher_options *opt)
{
	struct config_watcher *c = xcalloc(1, sizeof(*c));

	c->opt = *opt;
	ev_timer_init(&c->timer, on_timer, 0, 0);
	c->timer.data = c;
	read_or_watch(c);
	return c;
}

void config_watcher_free(struct config_watcher *c)
{
	if (!c)
		return;
	ev_timer_stop(c->opt.loop, &c->timer);
	fleet_routes_free(&c->routes);
	free(c);
}

const struct fleet_routes *config_watcher_routes(const struct config_watcher *c)
{
	return &c->routes;
}

int64_t config_watcher_age_ms(const struct config_watcher *c)
{
	if (!c->answered_at)
		return -1;
	return syc_now(&syc_clock_boot) - c->answered_at;
}
