/*
 * The cryptography of a peer connection, without sockets: the three messages of
 * the handshake, and the sealing of the frames after it.
 *
 *	dialler  -> acceptor: hello  (magic, nonce, identity)
 *	acceptor -> dialler:  reply  (magic, nonce, identity, proof)
 *	dialler  -> acceptor: finish (proof)
 *
 * A proof is a BLAKE2b hash, keyed with the cluster key, over a label for the
 * side, the hello, and the reply without its proof. The session key is derived
 * in the same way, so it depends on both nonces and both identities. Every
 * frame is sealed with ChaCha20-Poly1305 and a counter as nonce, so a repeated,
 * reordered or altered frame fails authentication.
 */
#ifndef TRANSPORT_PEER_SEAL_H
#define TRANSPORT_PEER_SEAL_H

#include "sycamoreshore/types.h"

enum {
	SEAL_NONCE_LEN = 32,
	SEAL_PROOF_LEN = 32,
	SEAL_KEY_LEN = 32,
	SEAL_TAG_LEN = 16, /* bytes that sealing adds to a message */
	SEAL_IDENT_LEN = 8 + 3 * SYC_NAME_MAX + SYC_IP_MAX + 2,
	SEAL_HELLO_LEN = 8 + SEAL_NONCE_LEN + SEAL_IDENT_LEN,
	SEAL_REPLY_LEN = SEAL_HELLO_LEN + SEAL_PROOF_LEN,
	SEAL_FINISH_LEN = SEAL_PROOF_LEN
};

/* The state of one side of a handshake and of the session after it. */
struct peer_seal {
	uint8_t hello[SEAL_HELLO_LEN];
	uint8_t reply[SEAL_REPLY_LEN];
	uint8_t key[SEAL_KEY_LEN];
	uint64_t counter; /* number of the next frame, used as its nonce */
};

/* Starts the dialler's handshake and writes its hello to `s->hello`. */
void seal_make_hello(struct peer_seal *s, const struct syc_instance *self);

/* Reads the hello in the acceptor. Sets `*error` if it returns false. */
bool seal_read_hello(struct peer_seal *s, struct syc_bytes msg,
		     struct syc_instance *peer, const char **error);

/* Writes the acceptor's reply to `s->reply`. */
void seal_make_reply(struct peer_seal *s, const struct syc_instance *self,
		     const uint8_t *cluster_key);

/*
 * Reads the reply in the dialler and checks its proof. Sets `*error` if it
 * returns false.
 */
bool seal_read_reply(struct peer_seal *s, struct syc_bytes msg,
		     const uint8_t *cluster_key, struct syc_instance *peer,
		     const char **error);

/*
 * Writes the dialler's finish, with its proof, to `out` and starts its session.
 */
void seal_make_finish(struct peer_seal *s, const uint8_t *cluster_key,
		      uint8_t out[SEAL_FINISH_LEN]);

/*
 * Checks the proof of the finish in the acceptor and starts its session. Sets
 * `*error` if it returns false.
 */
bool seal_read_finish(struct peer_seal *s, struct syc_bytes msg,
		      const uint8_t *cluster_key, const char **error);

/* Seals `msg` into `out` of msg.n + SEAL_TAG_LEN bytes. */
void seal_frame(struct peer_seal *s, struct syc_bytes msg, uint8_t *out);

/*
 * Decrypts a frame in place. Returns false if it is altered or not the next
 * frame of the session.
 */
bool seal_open_frame(struct peer_seal *s, uint8_t *frame, size_t n,
		     struct syc_bytes *msg);

#endif
