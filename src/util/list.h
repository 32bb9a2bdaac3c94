/* A circular doubly linked list of nodes embedded in their items. */
#ifndef UTIL_LIST_H
#define UTIL_LIST_H

#include <stdbool.h>
#include <stddef.h>

struct list {
	struct list *next; /* NULL: the node is in no list */
	struct list *prev;
};

static inline void list_init(struct list *head)
{
	head->next = head;
	head->prev = head;
}

static inline bool list_empty(const struct list *head)
{
	return head->next == head;
}

/* Adds the node `n` at the end of the list. */
static inline void list_add(struct list *head, struct list *n)
{
	n->next = head;
	n->prev = head->prev;
	head->prev->next = n;
	head->prev = n;
}

/* Does nothing to a node that is in no list. */
static inline void list_remove(struct list *n)
{
	if (!n->next)
		return;
	n->prev->next = n->next;
	n->next->prev = n->prev;
	n->next = NULL;
	n->prev = NULL;
}

/* Returns the item of `type` that contains the node `n` as `member`. */
#define LIST_ITEM(n, type, member) \
	((type *)(void *)((char *)(n)-offsetof(type, member)))

/*
 * Visits each node of a list as `pos`, which the loop's body may remove.
 * `after` holds the node that follows it.
 */
#define LIST_EACH(pos, after, head)                                        \
	for ((pos) = (head)->next, (after) = (pos)->next; (pos) != (head); \
	     (pos) = (after), (after) = (pos)->next)

#endif
