/** Listener for callers: accepts connections and dates their requests. */
import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {computeBacklog} from '@siskinplank/dispatch';
import type {Clock, Logger, TurnMonitor} from '@siskinplank/foundation';
import type {CallerLimits} from '@siskinplank/serving';
import type {GatewaySettings} from '@siskinplank/settings';
import type {Either} from 'purify-ts';
import {createAcceptProbe} from './accept-probe';
import {createArrivalTimes} from './arrival-times';
import type {ArrivalTimes} from './arrival-times';
import {handleCallerErrors} from './caller-errors';
import {BYTES_UNANSWERED} from './events';
import {createIdleConnections} from './idle-connections';
import {installLingeringClose} from './lingering-close';
import {startListening} from './listening';

/** What `createCallerListener` needs. */
export interface CallerListenerOptions {
  settings: Pick<GatewaySettings, 'caller' | 'process'>;
  clock: Clock;
  logger: Logger;
  turns: TurnMonitor;
  /** Called with each measured wait in the accept queue. */
  onAcceptWait(waitMs: number): void;
}

/** The listener for callers. */
export interface CallerListener {
  arrivals: ArrivalTimes;
  applyLimits(limits: CallerLimits): void;
  start(
    handle: (incoming: IncomingMessage, outgoing: ServerResponse) => void,
  ): Promise<Either<{message: string}, void>>;
  /**
   * Closes connections without a request, and others once they are answered;
   * new ones are still accepted.
   */
  closeIdle(): Promise<void>;
  /** Accepts no more connections; resolves when the last one has ended. */
  close(): Promise<void>;
  /** Resolves when the requests that have arrived are read. */
  readArrived(): Promise<void>;
  /** Closes all connections; their callers receive what was written. */
  endConnections(): void;
  /** Connections that are closed here, and not yet by their callers. */
  countLingering(): number;
  /** Ends connections at once; what their callers miss may be lost. */
  closeAllConnections(): void;
}

/** Creates a listener that does not listen yet. */
export function createCallerListener(
  options: CallerListenerOptions,
): CallerListener {
  const {clock, turns} = options;
  const {caller, process} = options.settings;
  const probe = createAcceptProbe({...caller.address, clock});
  const arrivals = createArrivalTimes({
    turns,
    probe,
    onWaitMeasured: options.onAcceptWait,
  });
  const server = createServer({
    maxHeaderSize: caller.maxHeaderBytes,
    requestTimeout: 0,
  });
  const lingering = installLingeringClose(
    server,
    clock,
    ({bytes, closedAgoMs}) =>
      options.logger.log(BYTES_UNANSWERED, {
        bytes,
        closedAgoMs: Math.round(closedAgoMs),
      }),
  );
  const idle = createIdleConnections(server, clock);
  handleCallerErrors(server, idle);
  server.on('connection', socket =>
    arrivals.recordConnection(socket, clock.getNowMs()),
  );

  return {
    arrivals,
    applyLimits: limits => {
      idle.setTimeoutMs(limits.idleTimeoutMs);
      server.headersTimeout = limits.headerTimeoutMs;
    },
    start: handle => {
      server.on('request', handle);
      return startListening(
        server,
        caller.address,
        computeBacklog(process.cpuShare * process.cpuSpeed),
      );
    },
    closeIdle: idle.closeIdle,
    close: () => {
      probe.stop();
      return idle.close();
    },
    readArrived: idle.readArrived,
    endConnections: () => {
      idle.closeRested();
      lingering.closeAll();
    },
    countLingering: lingering.count,
    closeAllConnections: () => server.closeAllConnections(),
  };
}
