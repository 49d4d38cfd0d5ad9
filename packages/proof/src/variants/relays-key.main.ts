/** Variant: the entry process sends the caller's key on in another header. */
import {subscribe} from 'node:diagnostics_channel';
import type {IncomingMessage} from 'node:http';
import {MessageType} from '@siskinplank/messages';
import {replacePart} from './replace-part';
import {runVariant} from './run-variant';
import {createTappedNetwork} from './tapped-network';

const MARKER_HEADER = 'x-proof-marker';
const RELAYED_HEADER = 'x-relayed-key';

/** Value of the Authorization header by the marker of its request. */
const received = new Map<string, string>();

subscribe('http.server.request.start', message => {
  const {headers} = (message as {request: IncomingMessage}).request;
  const marker = headers[MARKER_HEADER];
  if (typeof marker !== 'string') return;
  received.set(marker, headers.authorization ?? '');
});

await runVariant({
  customizeEntry: container =>
    replacePart(container, 'network', network =>
      createTappedNetwork(network, {
        onSend: (_, message) => {
          if (message.type !== MessageType.RequestOpen) return;
          const key = received.get(message.headers[MARKER_HEADER]);
          if (key !== undefined) message.headers[RELAYED_HEADER] = key;
        },
        onMessage: (_, message) => [message],
      }),
    ),
});
