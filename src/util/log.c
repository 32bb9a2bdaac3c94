#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "sycamoreshore/clock.h"
#include "util/alloc.h"
#include "util/buf.h"
#include "util/log.h"
#include "util/log_budget.h"

static struct {
	int fd;
	enum log_level level;
	bool json;
	char instance[32];
	uint64_t dropped;
	int64_t simulated_ms; /* zero: the real clocks are used */
	size_t batch_max;
	struct buf batch;
	struct log_budget budget;
} logger = {.fd = 2, .level = LOG_INFO};

static const char *const level_names[] = {"error", "warn", "info", "debug"};

void log_init(const struct log_options *opt)
{
	logger.fd = opt->fd;
	logger.level = opt->level;
	logger.json = opt->json;
	logger.batch_max = opt->batch_max;
	logger.batch.len = 0;
	log_budget_init(&logger.budget, opt->lines_per_s);
	if (opt->batch_max)
		fcntl(opt->fd, F_SETFL, fcntl(opt->fd, F_GETFL) | O_NONBLOCK);
	copy_text(logger.instance, sizeof(logger.instance),
		  opt->instance ? opt->instance : "");
}

void log_context_set(const char *instance)
{
	copy_text(logger.instance, sizeof(logger.instance), instance);
}

void log_clock_set(int64_t now_ms)
{
	logger.simulated_ms = now_ms;
}

void log_level_set(enum log_level level)
{
	logger.level = level;
}

uint64_t log_dropped(void)
{
	return logger.dropped;
}

uint64_t log_left_out(void)
{
	return logger.budget.left_out;
}

bool log_level_parse(const char *name, enum log_level *level)
{
	int i;

	for (i = LOG_ERROR; i <= LOG_DEBUG; i++) {
		if (strcmp(name, level_names[i]))
			continue;
		*level = (enum log_level)i;
		return true;
	}
	return false;
}

/* Writes `s` in quotes, with the escapes that JSON and logfmt both need. */
static void put_quoted_text(struct buf *b, const char *s)
{
	buf_puts(b, "\"");
	for (; *s; s++) {
		unsigned char c = (unsigned char)*s;

		if (c == '"' || c == '\\')
			buf_printf(b, "\\%c", c);
		else if (c < 0x20 || c == 0x7f)
			buf_printf(b, "\\u%04x", c);
		else
			buf_add(b, s, 1);
	}
	buf_puts(b, "\"");
}

static void put_field_name(struct buf *b, const char *name)
{
	if (b->len)
		buf_puts(b, logger.json ? "," : " ");
	buf_printf(b, logger.json ? "\"%s\":" : "%s=", name);
}

static void put_field(struct buf *b, const struct log_field *f)
{
	put_field_name(b, f->name);
	if (f->kind == LOG_KIND_INT)
		buf_printf(b, "%" PRId64, f->i);
	else if (f->kind == LOG_KIND_UINT)
		buf_printf(b, "%" PRIu64, f->u);
	else
		put_quoted_text(b, f->text ? f->text : "");
}

static void put_time(struct buf *b)
{
	struct timespec ts;
	struct tm tm;
	char s[32];

	if (logger.simulated_ms) {
		put_field_name(b, "time");
		buf_printf(b, "%" PRId64, logger.simulated_ms);
		return;
	}
	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(s, sizeof(s), "%Y-%m-%dT%H:%M:%S", &tm);
	put_field_name(b, "time");
	buf_printf(b, "\"%s.%03ldZ\"", s, ts.tv_nsec / 1000000);
}

void log_flush(void)
{
	ssize_t n;

	if (!logger.batch.len)
		return;
	n = write(logger.fd, logger.batch.data, logger.batch.len);
	if (n > 0)
		buf_consume(&logger.batch, (size_t)n);
	else if (n < 0 && errno != EAGAIN && errno != EINTR)
		logger.batch.len = 0;
}

static void output_line(const struct buf *line)
{
	if (!logger.batch_max) {
		if (write(logger.fd, line->data, line->len) !=
		    (ssize_t)line->len)
			logger.dropped++;
		return;
	}
	if (logger.batch.len + line->len > logger.batch_max) {
		logger.dropped++;
		return;
	}
	buf_add(&logger.batch, line->data, line->len);
}

static int64_t now_ms(void)
{
	return logger.simulated_ms ? logger.simulated_ms
				   : syc_now(&syc_clock_monotonic);
}

static const char *find_job_id(const struct log_field *fields, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (!strcmp(fields[i].name, "job"))
			return fields[i].text;
	return NULL;
}

/* Warnings and errors are always admitted. */
static bool admit_line(enum log_level level, const struct log_field *fields,
		       size_t n)
{
	if (log_budget_advance(&logger.budget, now_ms()))
		log_warn("log_thinned",
			 LOG_U("kept_percent", logger.budget.kept_share *
						       100ULL / LOG_BUDGET_ALL),
			 LOG_U("left_out", logger.budget.left_out));
	return log_budget_admit(&logger.budget, level >= LOG_INFO
							? find_job_id(fields, n)
							: NULL);
}

void log_write(enum log_level level, const char *event,
	       const struct log_field *fields, size_t n)
{
	struct log_field common[] = {
		LOG_S("level", level_names[level]),
		LOG_S("instance", logger.instance),
		LOG_S("event", event),
	};
	auto_buf struct buf b = {0};
	size_t i;

	if (level > logger.level || !admit_line(level, fields, n))
		return;
	put_time(&b);
	for (i = 0; i < sizeof(common) / sizeof(*common); i++)
		put_field(&b, &common[i]);
	for (i = 0; i < n; i++)
		put_field(&b, &fields[i]);
	if (logger.json) {
		auto_buf struct buf line = {0};

		buf_printf(&line, "{%s}\n", b.data);
		output_line(&line);
		return;
	}
	buf_puts(&b, "\n");
	output_line(&b);
}
