/** The link between entries and gates: frames, handshake, configuration exchange and gossip. */
export { acceptLinks, type AcceptLinksOptions, type LinkServer } from './acceptLinks.js';
export {
  ConfigurationExchange,
  type ConfigurationExchangeOptions,
  type ConfigurationOffer,
  type PeerOffer,
} from './configurationExchange.js';
export { Shutdown, type ShutdownOptions } from './shutdown.js';
export { toStageEnd } from './toStageEnd.js';
export { NodeGossip, type NodeGossipOptions } from './nodeGossip.js';
export type * from './frames.js';
export { type HandshakeOptions, performHandshake } from './handshake.js';
export { type Link, SocketLink } from './link.js';
export { openLink, type OpenLinkOptions, type AuthenticatedLink } from './openLink.js';
export { encodeFrame, FrameDecoder } from './wireFrame.js';
