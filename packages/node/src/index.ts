/** The link between entries and gates: frames, handshake, membership and routing. */
export {};
