/**
 * Chooses the gateway that pools the tokens of each client account, its home.
 * Tokens that accrue at the other gateways are returned to it, and it grants
 * them to requests at all gateways.
 */
import {scoreMember} from '@siskinplank/membership';

/** A gateway that may pool tokens. */
export interface HomeMember {
  name: string;
  /** Processor time of its host, in cores; 0 if it may not pool tokens. */
  capacity: number;
}

/** Homes of the accounts, as one gateway chooses them. */
export interface TokenHomes {
  /** Replaces the gateways that this one reaches, itself included. */
  setMembers(members: readonly HomeMember[]): void;
  /** Number of gateways that this one reaches, itself included. */
  countMembers(): number;
  findHome(account: string): string;
  /** Gateway that pools the account's tokens once this one does not. */
  findNextHome(account: string): string;
  /** Chooses other homes until this one, which did not reply, is heard again. */
  markUnresponsive(name: string): void;
  /** Returns whether the gateway was marked as unresponsive. */
  markResponsive(name: string): boolean;
}

/**
 * Accounts are split into this many groups with one home each. Every gateway
 * returns tokens to every home, so that more homes mean more messages.
 */
const GROUP_COUNT = 4;
/** Homes have at least this part of the capacity of the largest host. */
const MIN_CAPACITY_FRACTION = 0.5;

/** Creates the homes of a gateway that reaches no other one. */
export function createTokenHomes(ownName: string): TokenHomes {
  /** By group and gateway; a gateway keeps its scores while it is a member. */
  const scores = Array.from(
    {length: GROUP_COUNT},
    () => new Map<string, string>(),
  );
  const groups = new Map<string, number>();
  const unresponsive = new Set<string>();
  /** By group: gateways that may be its home, best first. */
  let ranked: string[][] = scores.map(() => []);
  let memberKey = '';
  let memberCount = 1;

  const findGroup = (account: string): number => {
    const known = groups.get(account);
    if (known !== undefined) return known;
    const digits = scoreMember('account', account).slice(0, 8);
    const group = Number.parseInt(digits, 16) % GROUP_COUNT;
    groups.set(account, group);
    return group;
  };

  const getScore = (group: number, name: string): string => {
    const known = scores[group].get(name);
    if (known !== undefined) return known;
    const score = scoreMember(name, `tokens-${group}`);
    scores[group].set(name, score);
    return score;
  };

  const rankCandidates = (names: readonly string[], group: number): string[] =>
    names
      .map(name => ({name, score: getScore(group, name)}))
      .sort((left, right) => (left.score < right.score ? 1 : -1))
      .map(({name}) => name);

  const findFirst = (
    account: string,
    isAllowed: (name: string) => boolean,
  ): string =>
    ranked[findGroup(account)].find(
      name => isAllowed(name) && !unresponsive.has(name),
    ) ?? ownName;

  return {
    setMembers: members => {
      memberCount = members.length;
      const largest = Math.max(0, ...members.map(({capacity}) => capacity));
      const names = members
        .filter(
          ({capacity}) =>
            capacity > 0 && capacity >= largest * MIN_CAPACITY_FRACTION,
        )
        .map(({name}) => name)
        .sort();
      const key = names.join(' ');
      if (key === memberKey) return;
      memberKey = key;
      const kept = new Set(names);
      for (const name of unresponsive) {
        if (!kept.has(name)) unresponsive.delete(name);
      }
      for (const known of scores) {
        for (const name of known.keys()) {
          if (!kept.has(name)) known.delete(name);
        }
      }
      ranked = scores.map((_, group) => rankCandidates(names, group));
    },
    countMembers: () => memberCount,
    findHome: account => findFirst(account, () => true),
    findNextHome: account => findFirst(account, name => name !== ownName),
    markUnresponsive: name => {
      if (name !== ownName) unresponsive.add(name);
    },
    markResponsive: name => unresponsive.delete(name),
  };
}
