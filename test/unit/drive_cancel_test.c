/* Tests of what a driver remembers of jobs that were cancelled by their ids. */
#include <stdio.h>

#include "drive_fake.h"
#include "unit.h"
#include "util/log.h"

static void submit(struct drive_fake *f, uint64_t tag, const char *id)
{
	struct drive_job j = drive_fake_job(id, 1);

	drive_fake_submit(f, tag, &j);
}

/* Whether a submission under that tag was answered as cancelled. */
static bool is_answered_cancelled(const struct drive_fake *f, uint64_t tag)
{
	size_t i;

	for (i = 0; i < f->n_jobs_done; i++)
		if (f->jobs_done[i].tag == tag &&
		    f->jobs_done[i].outcome == DRIVE_CANCELLED)
			return true;
	return false;
}

static void cancelled_job_is_remembered_for_a_while(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 1);
	submit(&f, 1, "a");
	CU_ASSERT(drive_cancel_id(f.drive, f.now, "a"));
	CU_ASSERT(is_answered_cancelled(&f, 1));
	CU_ASSERT_FALSE(drive_cancel_id(f.drive, f.now, "a"));
	CU_ASSERT(drive_cancel_id(f.drive, f.now, "b"));
	f.now += 29000;
	submit(&f, 2, "a");
	submit(&f, 3, "b");
	CU_ASSERT(is_answered_cancelled(&f, 2));
	CU_ASSERT(is_answered_cancelled(&f, 3));
	CU_ASSERT_EQUAL(f.n_starts, 1);
	f.now += 2000;
	submit(&f, 4, "b");
	CU_ASSERT_FALSE(is_answered_cancelled(&f, 4));
	drive_fake_free(&f);
}

static void next_driver_remembers_a_cancelled_job(void)
{
	struct drive_fake f;

	drive_fake_init(&f, 1);
	drive_end(f.drive, f.now);
	CU_ASSERT(drive_cancel_id(f.drive, f.now, "a"));
	drive_begin(f.drive, f.now, 9);
	submit(&f, 1, "a");
	CU_ASSERT(is_answered_cancelled(&f, 1));
	drive_fake_free(&f);
}

static void too_many_cancelled_jobs_drop_the_oldest(void)
{
	enum { REMEMBERED = 4096 };
	struct drive_fake f;
	char id[DRIVE_JOB_ID_MAX];
	int i;

	drive_fake_init(&f, 1);
	log_level_set(LOG_ERROR);
	for (i = 0; i <= REMEMBERED; i++) {
		snprintf(id, sizeof(id), "%d", i);
		CU_ASSERT(drive_cancel_id(f.drive, f.now, id));
	}
	submit(&f, 1, "0");
	submit(&f, 2, "1");
	submit(&f, 3, id);
	CU_ASSERT_FALSE(is_answered_cancelled(&f, 1));
	CU_ASSERT(is_answered_cancelled(&f, 2));
	CU_ASSERT(is_answered_cancelled(&f, 3));
	drive_fake_free(&f);
}

SUITE(drive_cancel)
{
	TEST(cancelled_job_is_remembered_for_a_while);
	TEST(next_driver_remembers_a_cancelled_job);
	TEST(too_many_cancelled_jobs_drop_the_oldest);
}
