#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "transport/address.h"
#include "transport/http_transfer.h"
#include "util/alloc.h"

enum {
	READ_SIZE = 16 * 1024, /* bytes read at once */
	POOLED_BUF_MAX = 64 * 1024 /* bytes of a buffer in a pooled transfer */
};

static size_t on_body(char *p, size_t size, size_t n, void *arg)
{
	struct http_transfer *t = arg;

	if (n > t->body_max - t->in.len) {
		t->too_long = true;
		return 0;
	}
	buf_add(&t->in, p, n);
	return n;
}

/*
 * curl calls this when a connection is ready, before it writes the first byte.
 * If a reused connection ends before the first byte of an answer, curl sends
 * the request again by itself. A second call for the same transfer comes from
 * such a repetition, so the function aborts the request.
 */
static int on_send(void *arg, char *peer_ip, char *local_ip, int peer_port,
		   int local_port)
{
	struct http_transfer *t = arg;

	if (t->sent)
		return CURL_PREREQFUNC_ABORT;
	t->sent = true;
	return CURL_PREREQFUNC_OK;
}

struct http_transfer *http_transfer_new(struct http_client *c,
					struct http_socks *socks,
					long connect_ms)
{
	struct http_transfer *t;
	CURL *e = curl_easy_init();

	if (!e)
		return NULL;
	t = xcalloc(1, sizeof(*t));
	t->client = c;
	t->easy = e;
	curl_easy_setopt(e, CURLOPT_PRIVATE, t);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(e, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, connect_ms);
	curl_easy_setopt(e, CURLOPT_BUFFERSIZE, (long)READ_SIZE);
	curl_easy_setopt(e, CURLOPT_ERRORBUFFER, t->message);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(e, CURLOPT_CLOSESOCKETFUNCTION, http_socks_close);
	curl_easy_setopt(e, CURLOPT_CLOSESOCKETDATA, socks);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_send);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, t);
	return t;
}

void http_transfer_free(struct http_transfer *t)
{
	curl_easy_cleanup(t->easy);
	buf_free(&t->out);
	buf_free(&t->in);
	free(t);
}

static bool is_content_type(const char *line)
{
	static const char name[] = "Content-Type:";

	return !strncasecmp(line, name, sizeof(name) - 1);
}

/* Appends the lines to `out` after the body and links them into a list. */
static bool set_headers(struct http_transfer *t, const char *const *lines)
{
	size_t i, n, at = t->out.len;
	bool has_content_type = false;

	for (n = 0; lines && lines[n]; n++) {
		if (n == TRANSFER_HEADERS_MAX || strpbrk(lines[n], "\r\n"))
			return false;
		has_content_type |= is_content_type(lines[n]);
		buf_add(&t->out, lines[n], strlen(lines[n]) + 1);
	}
	for (i = 0; i < n; i++) {
		t->lines[i].data = t->out.data + at;
		t->lines[i].next = &t->lines[i + 1];
		at += strlen(t->out.data + at) + 1;
	}
	t->lines[n].data = (char *)(uintptr_t) "Expect:";
	t->lines[n].next = has_content_type ? NULL : &t->lines[n + 1];
	t->lines[n + 1].data = (char *)(uintptr_t) "Content-Type:";
	t->lines[n + 1].next = NULL;
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, t->lines);
	return true;
}

static void set_method(struct http_transfer *t, const struct http_call *call)
{
	bool is_get = !strcmp(call->method, "GET");
	bool is_post = !strcmp(call->method, "POST");

	if (is_get || (!call->body.n && !strcmp(call->method, "DELETE"))) {
		curl_easy_setopt(t->easy, CURLOPT_HTTPGET, 1L);
	} else {
		curl_easy_setopt(t->easy, CURLOPT_POST, 1L);
		curl_easy_setopt(t->easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)call->body.n);
		curl_easy_setopt(t->easy, CURLOPT_POSTFIELDS,
				 t->out.data ? t->out.data : "");
	}
	curl_easy_setopt(t->easy, CURLOPT_CUSTOMREQUEST,
			 is_get || is_post ? NULL : call->method);
}

static bool set_url(struct http_transfer *t, const struct http_call *call)
{
	struct sockaddr_storage ss;
	auto_buf struct buf url = {0};
	char host[ADDR_TEXT_MAX];
	socklen_t len;

	if (addr_to_sock(&call->addr, &ss, &len)) {
		copy_text(t->message, sizeof(t->message),
			  transport_last_error());
		return false;
	}
	addr_format(&call->addr, host);
	buf_puts(&url, "http://");
	buf_puts(&url, host);
	buf_puts(&url, call->path);
	return curl_easy_setopt(t->easy, CURLOPT_URL, url.data) == CURLE_OK;
}

bool http_transfer_set(struct http_transfer *t, const struct http_call *call)
{
	t->body_max = call->body_max;
	t->message[0] = '\0';
	if (!set_url(t, call))
		return false;
	buf_add(&t->out, call->body.p, call->body.n);
	if (!set_headers(t, call->headers)) {
		copy_text(t->message, sizeof(t->message),
			  "too many header lines, or a line break in one");
		return false;
	}
	set_method(t, call);
	curl_easy_setopt(t->easy, CURLOPT_FRESH_CONNECT,
			 (long)call->new_connection);
	return true;
}

static const char *get_header(const struct http_transfer *t, const char *name)
{
	struct curl_header *h;

	if (curl_easy_header(t->easy, name, 0, CURLH_HEADER, -1, &h))
		return NULL;
	return h->value;
}

/*
 * Returns whether the answer states its length. Without a length, the end of
 * the connection would end the answer, and a truncated answer would look
 * complete.
 */
static bool is_delimited(const struct http_transfer *t, long status)
{
	curl_off_t len = -1;
	const char *coding;

	if (status == 204 || status == 304)
		return true;
	curl_easy_getinfo(t->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &len);
	coding = get_header(t, "Transfer-Encoding");
	return len >= 0 || (coding && strcasestr(coding, "chunked"));
}

static void set_message(struct http_transfer *t, const char *text)
{
	if (!t->message[0])
		copy_text(t->message, sizeof(t->message), text);
}

static enum http_end classify_end(struct http_transfer *t, long status)
{
	if (t->end)
		return t->end;
	if (!t->sent)
		return HTTP_NOT_SENT;
	if (t->too_long) {
		copy_text(t->message, sizeof(t->message),
			  "the answer is too long");
		return HTTP_INCOMPLETE;
	}
	if (t->curl_code != CURLE_OK)
		return HTTP_INCOMPLETE;
	if (is_delimited(t, status))
		return HTTP_ANSWERED;
	set_message(t, "the answer has no length");
	return HTTP_INCOMPLETE;
}

static bool is_refused(const struct http_transfer *t)
{
	long error = 0;

	if (t->curl_code != CURLE_COULDNT_CONNECT)
		return false;
	curl_easy_getinfo(t->easy, CURLINFO_OS_ERRNO, &error);
	return error == ECONNREFUSED;
}

void http_transfer_answer(struct http_transfer *t, struct http_answer *a)
{
	long status = 0;

	memset(a, 0, sizeof(*a));
	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	a->end = classify_end(t, status);
	a->refused = is_refused(t);
	if (a->end == HTTP_ANSWERED) {
		a->status = (unsigned)status;
		a->body.p = t->in.data;
		a->body.n = t->in.len;
		a->not_run = get_header(t, "Sycamoreshore-Not-Run");
		a->index = get_header(t, "X-Consul-Index");
	} else {
		set_message(t, curl_easy_strerror(t->curl_code));
	}
	a->message = t->message;
}

static void clear_buf(struct buf *b)
{
	if (b->cap > POOLED_BUF_MAX)
		buf_free(b);
	b->len = 0;
}

void http_transfer_clear(struct http_transfer *t)
{
	clear_buf(&t->out);
	clear_buf(&t->in);
	t->sent = false;
	t->too_long = false;
	t->running = false;
	t->end = 0;
	t->curl_code = CURLE_OK;
	t->next = NULL;
}
