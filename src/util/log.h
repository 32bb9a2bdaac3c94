/*
 * The structured logger. It writes one line per event, in logfmt or JSON, to a
 * file descriptor. A line that cannot be written, for example because the disk
 * is full, is dropped and counted. Logging never blocks the program forever and
 * never ends it.
 *
 *	log_info("peer_up", LOG_S("peer", name), LOG_U("epoch", epoch));
 */
#ifndef UTIL_LOG_H
#define UTIL_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum log_level { LOG_ERROR = 0, LOG_WARN, LOG_INFO, LOG_DEBUG };

enum log_kind { LOG_KIND_TEXT, LOG_KIND_INT, LOG_KIND_UINT };

struct log_field {
	const char *name;
	enum log_kind kind;
	const char *text; /* value of a LOG_KIND_TEXT field */
	int64_t i; /* value of a LOG_KIND_INT field */
	uint64_t u; /* value of a LOG_KIND_UINT field */
};

struct log_options {
	int fd;
	enum log_level level;
	bool json;
	const char *instance; /* copied; a field of every line */
	size_t batch_max; /* bytes kept until log_flush; zero: no batches */
	uint32_t lines_per_s; /* see util/log_budget.h; zero: no limit */
};

void log_init(const struct log_options *opt);
void log_level_set(enum log_level level);

/* For simulations: sets the instance that later lines contain. */
void log_context_set(const char *instance);
/*
 * For simulations: sets the time in ms that later lines contain. Zero selects
 * the real clocks.
 */
void log_clock_set(int64_t now_ms);

void log_write(enum log_level level, const char *event,
	       const struct log_field *fields, size_t n);

/*
 * Writes the current batch as far as the descriptor accepts it without
 * blocking. Lines that did not fit into the batch are dropped and counted.
 */
void log_flush(void);

/* Returns the number of lines dropped because they could not be written. */
uint64_t log_dropped(void);
/* Returns the number of lines about jobs left out to keep `lines_per_s`. */
uint64_t log_left_out(void);
/* Parses the name of a level. Returns false if there is no such level. */
bool log_level_parse(const char *name, enum log_level *level);

#define LOG_S(name, val)                       \
	{                                      \
		name, LOG_KIND_TEXT, val, 0, 0 \
	}
#define LOG_I(name, val)                         \
	{                                        \
		name, LOG_KIND_INT, NULL, val, 0 \
	}
#define LOG_U(name, val)                          \
	{                                         \
		name, LOG_KIND_UINT, NULL, 0, val \
	}

#define log_event(level, event, ...)                                       \
	do {                                                               \
		const struct log_field fields_[] = {{NULL, 0, NULL, 0, 0}, \
						    ##__VA_ARGS__};        \
		log_write(level, event, fields_ + 1,                       \
			  sizeof(fields_) / sizeof(*fields_) - 1);         \
	} while (0)

#define log_error(event, ...) log_event(LOG_ERROR, event, ##__VA_ARGS__)
#define log_warn(event, ...) log_event(LOG_WARN, event, ##__VA_ARGS__)
#define log_info(event, ...) log_event(LOG_INFO, event, ##__VA_ARGS__)
#define log_debug(event, ...) log_event(LOG_DEBUG, event, ##__VA_ARGS__)

#endif
