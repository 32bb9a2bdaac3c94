/*
 * Measures the processor time of a log line that is written, and of one that
 * the rate limit leaves out.
 *
 *	log_cost
 */
#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

#include "cpu_time.h"
#include "util/log.h"

enum { LINES = 400000, LINES_PER_FLUSH = 20 };

static void write_lines(void)
{
	char id[17];
	int i;

	for (i = 0; i < LINES; i++) {
		snprintf(id, sizeof(id), "%016x", i);
		log_info("job_begun", LOG_S("job", id), LOG_U("tasks", 8),
			 LOG_U("done", 0), LOG_U("priority", 1),
			 LOG_I("waited_ms", 12),
			 LOG_I("to_latest_start_ms", 345));
		if (i % LINES_PER_FLUSH == 0)
			log_flush();
	}
}

static void measure(const char *label, int fd, uint32_t lines_per_s)
{
	struct log_options opt = {.fd = fd,
				  .level = LOG_INFO,
				  .instance = "instance-of-a-domain-1",
				  .batch_max = 262144,
				  .lines_per_s = lines_per_s};
	uint64_t left_out_before = log_left_out();
	double begin_cpu_s;

	log_init(&opt);
	begin_cpu_s = cpu_s();
	write_lines();
	printf("%s: %.2f us per line, %llu of %d left out\n", label,
	       (cpu_s() - begin_cpu_s) * 1e6 / LINES,
	       (unsigned long long)(log_left_out() - left_out_before), LINES);
}

int main(void)
{
	int fd = open("/dev/null", O_WRONLY);

	if (fd < 0) {
		perror("/dev/null");
		return 1;
	}
	measure("written", fd, 0);
	measure("over the rate limit", fd, 1000);
	close(fd);
	return 0;
}
