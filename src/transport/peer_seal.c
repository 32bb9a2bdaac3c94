#include <arpa/inet.h>
#include <string.h>

#include <sodium.h>

#include "transport/peer_seal.h"
#include "util/alloc.h"
#include "util/invariant.h"

enum {
	MAGIC_LEN = 8,
	NAME_FIRST = 0x21, /* printable ASCII without the space */
	NAME_LAST = 0x7e
};

static const uint8_t magic[MAGIC_LEN] = {'S', 'Y', 'C', 'P',
					 'E', 'E', 'R', '1'};

static uint8_t *put_number(uint8_t *p, uint64_t v, int bytes)
{
	int i;

	for (i = bytes - 1; i >= 0; i--) {
		p[i] = (uint8_t)v;
		v >>= 8;
	}
	return p + bytes;
}

static const uint8_t *get_number(const uint8_t *p, uint64_t *v, int bytes)
{
	int i;

	*v = 0;
	for (i = 0; i < bytes; i++)
		*v = *v << 8 | p[i];
	return p + bytes;
}

static uint8_t *put_text(uint8_t *p, const char *text, size_t size)
{
	memset(p, 0, size);
	copy_text((char *)p, size, text);
	return p + size;
}

/* The text must be printable, terminated and followed only by zeros. */
static const uint8_t *get_text(const uint8_t *p, char *text, size_t size,
			       bool *ok)
{
	size_t i, n = strnlen((const char *)p, size);

	*ok &= n < size;
	for (i = 0; i < size; i++)
		*ok &= i < n ? p[i] >= NAME_FIRST && p[i] <= NAME_LAST : !p[i];
	memcpy(text, p, size);
	text[size - 1] = '\0';
	return p + size;
}

static void put_ident(uint8_t *p, const struct syc_instance *inst)
{
	p = put_number(p, inst->id, 8);
	p = put_text(p, inst->name, SYC_NAME_MAX);
	p = put_text(p, inst->domain, SYC_NAME_MAX);
	p = put_text(p, inst->rack, SYC_NAME_MAX);
	p = put_text(p, inst->peer_addr.ip, SYC_IP_MAX);
	put_number(p, inst->peer_addr.port, 2);
}

static bool is_ip(const char *text)
{
	struct in6_addr any;

	return inet_pton(AF_INET, text, &any) == 1 ||
	       inet_pton(AF_INET6, text, &any) == 1;
}

static bool get_ident(const uint8_t *p, struct syc_instance *inst)
{
	bool ok = true;
	uint64_t port;

	p = get_number(p, &inst->id, 8);
	p = get_text(p, inst->name, SYC_NAME_MAX, &ok);
	p = get_text(p, inst->domain, SYC_NAME_MAX, &ok);
	p = get_text(p, inst->rack, SYC_NAME_MAX, &ok);
	p = get_text(p, inst->peer_addr.ip, SYC_IP_MAX, &ok);
	get_number(p, &port, 2);
	inst->peer_addr.port = (uint16_t)port;
	return ok && inst->id && inst->name[0] && port &&
	       is_ip(inst->peer_addr.ip);
}

static void put_hello(uint8_t *p, const struct syc_instance *self)
{
	memcpy(p, magic, MAGIC_LEN);
	randombytes_buf(p + MAGIC_LEN, SEAL_NONCE_LEN);
	put_ident(p + MAGIC_LEN + SEAL_NONCE_LEN, self);
}

static bool get_hello(const uint8_t *p, struct syc_instance *peer,
		      const char **error)
{
	if (memcmp(p, magic, MAGIC_LEN) != 0) {
		*error = "not a peer, or another version of the protocol";
		return false;
	}
	if (get_ident(p + MAGIC_LEN + SEAL_NONCE_LEN, peer))
		return true;
	*error = "malformed identity";
	return false;
}

/*
 * Computes the keyed hash over a label, the hello and the part of the reply
 * before its proof.
 */
static void hash_handshake(const struct peer_seal *s,
			   const uint8_t *cluster_key, const char *label,
			   uint8_t out[SEAL_KEY_LEN])
{
	crypto_generichash_state st;

	crypto_generichash_init(&st, cluster_key, SEAL_KEY_LEN, SEAL_KEY_LEN);
	crypto_generichash_update(&st, (const uint8_t *)label,
				  strlen(label) + 1);
	crypto_generichash_update(&st, s->hello, SEAL_HELLO_LEN);
	crypto_generichash_update(&st, s->reply, SEAL_HELLO_LEN);
	crypto_generichash_final(&st, out, SEAL_KEY_LEN);
}

static void begin_session(struct peer_seal *s, const uint8_t *cluster_key)
{
	hash_handshake(s, cluster_key, "sycamoreshore peer session", s->key);
	s->counter = 0;
}

static bool check_proof(const struct peer_seal *s, const uint8_t *cluster_key,
			const char *label, const uint8_t *proof,
			const char **error)
{
	uint8_t expected[SEAL_PROOF_LEN];

	hash_handshake(s, cluster_key, label, expected);
	if (!sodium_memcmp(expected, proof, sizeof(expected)))
		return true;
	*error = "wrong cluster key";
	return false;
}

static const char acceptor_label[] = "sycamoreshore peer acceptor";
static const char dialler_label[] = "sycamoreshore peer dialler";

void seal_make_hello(struct peer_seal *s, const struct syc_instance *self)
{
	memset(s, 0, sizeof(*s));
	put_hello(s->hello, self);
}

bool seal_read_hello(struct peer_seal *s, struct syc_bytes msg,
		     struct syc_instance *peer, const char **error)
{
	memset(s, 0, sizeof(*s));
	if (msg.n != SEAL_HELLO_LEN) {
		*error = "malformed hello";
		return false;
	}
	memcpy(s->hello, msg.p, SEAL_HELLO_LEN);
	return get_hello(s->hello, peer, error);
}

void seal_make_reply(struct peer_seal *s, const struct syc_instance *self,
		     const uint8_t *cluster_key)
{
	put_hello(s->reply, self);
	hash_handshake(s, cluster_key, acceptor_label,
		       s->reply + SEAL_HELLO_LEN);
}

bool seal_read_reply(struct peer_seal *s, struct syc_bytes msg,
		     const uint8_t *cluster_key, struct syc_instance *peer,
		     const char **error)
{
	if (msg.n != SEAL_REPLY_LEN) {
		*error = "malformed reply";
		return false;
	}
	memcpy(s->reply, msg.p, SEAL_REPLY_LEN);
	if (!get_hello(s->reply, peer, error))
		return false;
	return check_proof(s, cluster_key, acceptor_label,
			   s->reply + SEAL_HELLO_LEN, error);
}

void seal_make_finish(struct peer_seal *s, const uint8_t *cluster_key,
		      uint8_t out[SEAL_FINISH_LEN])
{
	hash_handshake(s, cluster_key, dialler_label, out);
	begin_session(s, cluster_key);
}

bool seal_read_finish(struct peer_seal *s, struct syc_bytes msg,
		      const uint8_t *cluster_key, const char **error)
{
	if (msg.n != SEAL_FINISH_LEN) {
		*error = "malformed finish";
		return false;
	}
	if (!check_proof(s, cluster_key, dialler_label, msg.p, error))
		return false;
	begin_session(s, cluster_key);
	return true;
}

static void frame_nonce(
	struct peer_seal *s,
	uint8_t out[crypto_aead_chacha20poly1305_IETF_NPUBBYTES])
{
	memset(out, 0, crypto_aead_chacha20poly1305_IETF_NPUBBYTES);
	put_number(out + 4, s->counter++, 8);
	invariant(s->counter); /* a nonce must never be used twice */
}

void seal_frame(struct peer_seal *s, struct syc_bytes msg, uint8_t *out)
{
	uint8_t nonce[crypto_aead_chacha20poly1305_IETF_NPUBBYTES];

	frame_nonce(s, nonce);
	crypto_aead_chacha20poly1305_ietf_encrypt(out, NULL, msg.p, msg.n, NULL,
						  0, NULL, nonce, s->key);
}

bool seal_open_frame(struct peer_seal *s, uint8_t *frame, size_t n,
		     struct syc_bytes *msg)
{
	uint8_t nonce[crypto_aead_chacha20poly1305_IETF_NPUBBYTES];

	if (n < SEAL_TAG_LEN)
		return false;
	frame_nonce(s, nonce);
	if (crypto_aead_chacha20poly1305_ietf_decrypt(
		    frame, NULL, NULL, frame, n, NULL, 0, nonce, s->key))
		return false;
	msg->p = frame;
	msg->n = n - SEAL_TAG_LEN;
	return true;
}
