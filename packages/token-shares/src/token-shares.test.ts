import {TokenOutcome} from '@siskinplank/messages';
import {describe, expect, it} from 'vitest';
import {createShareFraction} from './share-fraction';
import {createTokenShares} from './token-shares';
import type {TokenDemand, TokenShares} from './token-shares';

const ACCOUNT = 'acme';
const limits = new Map([[ACCOUNT, {ratePerSecond: 1_000, burst: 1_000}]]);

/** Shares of a gateway that reaches no other one. */
function createShares(fraction: number): TokenShares {
  const shares = createTokenShares({
    ownName: 'g1',
    extraBurst: 0,
    startedAtMs: 0,
  });
  shares.setMembers([{name: 'g1', capacity: 1}], 0);
  shares.setFraction(fraction, 0);
  return shares;
}

const makeDemand = (key: string, tokens: number): TokenDemand => ({
  key,
  account: ACCOUNT,
  tokens,
  wantedTokens: 0,
  patienceMs: 500,
});

describe('initial level of token shares', () => {
  it('accrues from the process start once the fraction is known', () => {
    const shares = createTokenShares({
      ownName: 'g1',
      extraBurst: 0,
      startedAtMs: 0,
    });
    shares.setMembers([{name: 'g1', capacity: 1}], 0);
    shares.setLimits(limits, 600);
    expect(shares.trySpend(ACCOUNT, 100, 700)).toBe(false);
    shares.setFraction(0.5, 800);
    expect(shares.describeLimit(ACCOUNT, 800).ownLevel).toBeCloseTo(400);
  });

  it('is the burst for a new account, but not again after a removal', () => {
    const shares = createShares(0.5);
    shares.setLimits(new Map(), 0);
    shares.setLimits(limits, 1_000);
    expect(shares.trySpend(ACCOUNT, 500, 1_000)).toBe(true);
    shares.setLimits(new Map(), 1_100);
    shares.setLimits(limits, 1_200);
    expect(shares.trySpend(ACCOUNT, 100, 1_200)).toBe(false);
  });
});

describe('grants of the home of an account', () => {
  it('keep promised tokens from requests that came later', () => {
    const shares = createShares(1);
    shares.setLimits(limits, 0);
    expect(shares.grant(makeDemand('large', 900), 500)).toEqual({
      outcome: TokenOutcome.Promised,
      tokens: 0,
      waitMs: 400,
    });
    expect(shares.trySpend(ACCOUNT, 100, 600)).toBe(false);
    expect(shares.grant(makeDemand('small', 100), 600)).toMatchObject({
      outcome: TokenOutcome.Promised,
      waitMs: 400,
    });
    expect(shares.grant(makeDemand('large', 900), 900)).toMatchObject({
      outcome: TokenOutcome.Granted,
      tokens: 900,
    });
    expect(shares.grant(makeDemand('small', 100), 1_000)).toMatchObject({
      outcome: TokenOutcome.Granted,
    });
  });

  it('tell at once when the account will have the tokens', () => {
    const shares = createShares(1);
    shares.setLimits(limits, 0);
    const demand = {...makeDemand('r', 900), patienceMs: 100};
    expect(shares.grant(demand, 500)).toEqual({
      outcome: TokenOutcome.OverLimit,
      tokens: 0,
      waitMs: 400,
    });
  });

  it('are unavailable from a gateway that pools no tokens', () => {
    const shares = createShares(0.5);
    shares.setLimits(limits, 0);
    shares.setMembers([{name: 'g2', capacity: 1}], 0);
    expect(shares.grant(makeDemand('r', 900), 500)).toMatchObject({
      outcome: TokenOutcome.Unavailable,
    });
  });
});

describe('tokens pooled at a home', () => {
  it('are returned by the other gateways, also those of a former home', () => {
    const shares = createShares(0.5);
    shares.setLimits(limits, 0);
    expect(shares.withdrawReturns(900)).toEqual(new Map());
    shares.setMembers(
      [
        {name: 'g1', capacity: 0.2},
        {name: 'g2', capacity: 1},
      ],
      1_000,
    );
    expect(shares.findHome(ACCOUNT)).toBe('g2');
    const [[home, tokens]] = shares.withdrawReturns(1_100);
    expect(home).toBe('g2');
    // All that accrued, although the share of this gateway is smaller now.
    expect(tokens[ACCOUNT]).toBeCloseTo(500);
  });
});

describe('share fraction', () => {
  const input = {
    gatewayCount: 4,
    isRegistered: true,
    hadPredecessor: false,
    isKnownToAll: false,
    nowMs: 0,
  };

  it('is 0 until all others count the new gateway', () => {
    const fraction = createShareFraction(1_000);
    expect(fraction.update(input)).toBe(0);
    expect(fraction.update({...input, nowMs: 500, isKnownToAll: true})).toBe(
      0.25,
    );
  });

  it('applies at once after a restart under the same name', () => {
    const fraction = createShareFraction(1_000);
    expect(fraction.update({...input, hadPredecessor: true})).toBe(0.25);
  });

  it('counts a removed gateway until the settle time has passed', () => {
    const fraction = createShareFraction(1_000);
    fraction.update({...input, isKnownToAll: true});
    const removed = {...input, gatewayCount: 3, isKnownToAll: true};
    expect(fraction.update({...removed, nowMs: 900})).toBe(0.25);
    expect(fraction.update({...removed, nowMs: 1_100})).toBe(1 / 3);
  });

  it('is 0 while unregistered and until all others count it again', () => {
    const fraction = createShareFraction(1_000);
    fraction.update({...input, isKnownToAll: true});
    const unregistered = {...input, isRegistered: false, isKnownToAll: true};
    expect(fraction.update({...unregistered, nowMs: 2_000})).toBe(0);
    expect(fraction.update({...input, nowMs: 2_100})).toBe(0);
    const known = {...input, nowMs: 2_200, isKnownToAll: true};
    expect(fraction.update(known)).toBe(0.25);
  });
});
