import {LogLevel, createLogger} from '@siskinplank/foundation';
import {MessageType} from '@siskinplank/messages';
import {describe, expect, it} from 'vitest';
import {createPeerTable} from './peer-table';
import type {GatewayState} from './peer-table';

const TIMEOUT_MS = 700;
const LEAVING_EVENT = 6204;

function makeState(sequence: number, isLeaving: boolean): GatewayState {
  return {
    type: MessageType.GatewayState,
    sequence,
    directoryRevision: 1,
    memberCount: 2,
    isLeaving,
    configurationVersion: 1,
    orderToken: 1,
    isOrdering: false,
    open: {},
    demand: {},
    waitingStreams: {},
    poolCapacity: 0,
    faults: {},
    leaving: [],
    limits: {},
    unitNeeds: {},
    poison: {endings: [], sound: [], blames: [], deadlyRequests: []},
  };
}

describe('peer table', () => {
  // Guards against a kill in a stop that the logs of the peers show like a kill without one.
  it('logs once for each process that it stops', () => {
    const lines: Array<Record<string, unknown>> = [];
    const logger = createLogger({
      level: LogLevel.Info,
      getWallMs: () => 0,
      write: line =>
        void lines.push(JSON.parse(line) as Record<string, unknown>),
    });
    const peers = createPeerTable(TIMEOUT_MS, logger);
    const states: Array<[incarnation: string, state: GatewayState]> = [
      ['first', makeState(1, false)],
      ['first', makeState(2, true)],
      ['first', makeState(3, true)],
      ['second', makeState(1, false)],
      ['second', makeState(2, true)],
    ];
    for (const [incarnation, state] of states) {
      peers.updateState('gateway-1', incarnation, state, state.sequence);
    }
    const leaving = lines.filter(({event}) => event === LEAVING_EVENT);
    expect(leaving.map(({peer, incarnation}) => [peer, incarnation])).toEqual([
      ['gateway-1', 'first'],
      ['gateway-1', 'second'],
    ]);
  });
});
