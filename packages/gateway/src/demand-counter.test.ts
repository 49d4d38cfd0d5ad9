import {MessageType, decodeMessage, encodeMessage} from '@siskinplank/messages';
import {describe, expect, it} from 'vitest';
import {createDemandCounter} from './demand-counter';
import type {DemandCounter} from './demand-counter';

const INHERITED_NAMES = Object.getOwnPropertyNames(Object.prototype);

function encodeState(demand: DemandCounter): Uint8Array {
  return encodeMessage({
    type: MessageType.GatewayState,
    sequence: 1,
    isLeaving: false,
    directoryRevision: 1,
    memberCount: 1,
    configurationVersion: 1,
    orderToken: 1,
    isOrdering: false,
    open: {},
    demand: demand.describe(0),
    waitingStreams: demand.describeStreams(0),
    poolCapacity: 0,
    faults: {},
    leaving: [],
    poison: {endings: [], sound: [], blames: [], deadlyRequests: []},
    limits: {},
    unitNeeds: {},
  });
}

describe('demand counter', () => {
  // Callers name models. A state that cannot be decoded closes the link to the
  // order leader, and the counts last as long as the process.
  it.each(INHERITED_NAMES)('describes requests of a model named %s', name => {
    const demand = createDemandCounter(
      () => new Map(),
      () => true,
    );
    demand.recordRequest(name);
    demand.recordRequest('m0');
    const state = decodeMessage(encodeState(demand));
    expect(state.swap().extract()).not.toHaveProperty('reason');
    expect(state.unsafeCoerce()).toMatchObject({demand: {m0: [1, 0, 0]}});
  });

  // Callers may name any number of models; each would stay in all states.
  it('leaves out the models that no service offers', () => {
    const offered = new Set(['m0']);
    const streamsByVersion = new Map([['v1', 1]]);
    const demand = createDemandCounter(
      () => new Map([['unknown', {count: 1, oldestMs: 5, streamsByVersion}]]),
      model => offered.has(model),
    );
    for (const model of ['m0', 'unknown', 'm1']) demand.recordRequest(model);
    expect(demand.describe(0)).toEqual({m0: [1, 0, 0]});
    expect(demand.describeStreams(0)).toEqual({});
    offered.add('m1');
    demand.recordRequest('m1');
    expect(demand.describe(0)).toEqual({m0: [1, 0, 0], m1: [1, 0, 0]});
  });
});
