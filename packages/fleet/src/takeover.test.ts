import {describe, expect, it} from 'vitest';
import {TakeoverReason, planTakeover} from './takeover';
import type {TakeoverInput} from './takeover';

const LEASE = {
  holder: 'gateway-a',
  incarnation: 'a1',
  token: 3,
  isReleased: false,
};

function makeInput(changes: Partial<TakeoverInput>): TakeoverInput {
  return {
    lease: LEASE,
    isLeaseKnown: true,
    ownName: 'gateway-b',
    isLeaving: false,
    candidates: ['gateway-b', 'gateway-c'],
    holderIncarnation: 'a1',
    holderLastSeenAtMs: 9_900,
    listeningSinceMs: 0,
    nowMs: 10_000,
    ...changes,
  };
}

describe('takeover of the orders', () => {
  it('waits while the holder is heard of', () => {
    expect(planTakeover(makeInput({}))).toBeUndefined();
  });

  it('follows a holder that gave the orders up, without waiting', () => {
    const plan = planTakeover(makeInput({lease: {...LEASE, isReleased: true}}));
    expect(plan).toEqual({
      reason: TakeoverReason.Released,
      lastOrderAtMs: undefined,
    });
  });

  it('follows a holder whose host runs another process', () => {
    const plan = planTakeover(makeInput({holderIncarnation: 'a2'}));
    expect(plan?.reason).toBe(TakeoverReason.Ended);
  });

  // A silent holder may live; found on a day where the silence was counted
  // from the start of this process and the new holder ordered at once.
  it('counts the last order of a silent holder from when it was heard', () => {
    const plan = planTakeover(makeInput({holderLastSeenAtMs: 8_000}));
    expect(plan).toEqual({
      reason: TakeoverReason.Unresponsive,
      lastOrderAtMs: 8_000,
    });
  });

  it('lets candidates try one after the other', () => {
    const silent = {holderHeardAtMs: 8_750, candidates: ['gateway-b', 'x']};
    expect(planTakeover(makeInput(silent))?.reason).toBe(
      TakeoverReason.Unresponsive,
    );
    const second = planTakeover(
      makeInput({...silent, candidates: ['a', 'gateway-b']}),
    );
    expect(second).toBeUndefined();
  });

  it('takes its own lease again after a restart or a lost answer', () => {
    const plan = planTakeover(
      makeInput({lease: {...LEASE, holder: 'gateway-b'}}),
    );
    expect(plan?.reason).toBe(TakeoverReason.Ended);
  });

  it('does nothing before the lease was read, or when it leaves', () => {
    const free = {lease: undefined};
    expect(planTakeover(makeInput(free))?.reason).toBe(TakeoverReason.NoHolder);
    expect(
      planTakeover(makeInput({...free, isLeaseKnown: false})),
    ).toBeUndefined();
    expect(planTakeover(makeInput({...free, isLeaving: true}))).toBeUndefined();
  });
});
